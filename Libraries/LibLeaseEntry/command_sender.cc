#include "LibLeaseEntry/command_sender.h"

#include "platform/worker_protocol.h"

namespace mustardbank {

namespace {

// A worker takes 64 connections in all.
constexpr ConnectionPool::Limits kCommandLimits{
    .idle = 6,
    .connect_timeout = std::chrono::milliseconds(80)};
constexpr ConnectionPool::Limits kRenewLimits{
    .idle = 2,
    .connect_timeout = std::chrono::milliseconds(80)};

std::chrono::milliseconds ToTimeout(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

}  // namespace

CommandSender::CommandSender(boost::asio::io_context& io, LeaseControl& control)
    : control_(control), pool_(io, kCommandLimits), holds_(io, kRenewLimits) {}

void CommandSender::Start(StartCommand&& order) {
  fibers_.Run([this, order = std::move(order)] {
    platform::CommandReply reply{.answer = CommandAnswer::kNotSent};
    HttpResult<std::unique_ptr<HttpConnection>> connection =
        pool_.Acquire(order.target.endpoint);
    if (!connection) {
      reply = platform::DecodeCommandReply(connection.error());
    } else if (BootClock::now() <= order.send_before) {
      // The process may have been paused since the decision.
      const HttpResult<HttpResponse> response =
          (*connection)
              ->Exchange(platform::EncodeStart(order),
                         ToTimeout(order.timeout));
      reply = platform::DecodeCommandReply(response);
      if (response)
        pool_.Release(order.target.endpoint, std::move(*connection));
      else
        pool_.Forget(order.target.endpoint);
    }
    const Time now = BootClock::now();
    control_.dispatcher().DidStart(order, reply.answer, reply.clock_ms, now);
    control_.Pump(now);
  });
}

void CommandSender::Stop(StopCommand&& order) {
  fibers_.Run([this, order = std::move(order)] {
    const HttpResult<HttpResponse> response =
        pool_.Exchange(order.target.endpoint, platform::EncodeStop(order),
                       ToTimeout(order.timeout));
    const Time now = BootClock::now();
    control_.dispatcher().DidStop(
        order, platform::DecodeCommandReply(response).answer, now);
    control_.Pump(now);
  });
}

void CommandSender::Renew(RenewCommand&& order) {
  fibers_.Run([this, order = std::move(order)] {
    const HttpResult<HttpResponse> response =
        holds_.Exchange(order.target.endpoint, platform::EncodeRenew(order),
                        ToTimeout(order.timeout), order.fresh_connection);
    const platform::RenewReply reply = platform::DecodeRenewReply(response);
    const Time now = BootClock::now();
    control_.dispatcher().DidRenew(order, reply.answer, reply.report, now);
    control_.Pump(now);
  });
}

bool CommandSender::Reaches(Endpoint worker) {
  HttpResult<std::unique_ptr<HttpConnection>> connection =
      pool_.Acquire(worker, /*fresh=*/true);
  if (!connection)
    return false;
  pool_.Release(worker, std::move(*connection));
  return true;
}

}  // namespace mustardbank
