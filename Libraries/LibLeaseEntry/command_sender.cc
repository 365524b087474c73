#include "LibLeaseEntry/command_sender.h"

#include "platform/worker_protocol.h"

namespace mustardbank {

namespace {

// A worker accepts 64 connections in total, from all entry VMs.
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
    : control_(control),
      pool_(io, kCommandLimits),
      renew_pool_(io, kRenewLimits) {}

void CommandSender::Start(StartCommand&& command) {
  fibers_.Run([this, command = std::move(command)] {
    platform::CommandReply reply{.answer = CommandAnswer::kNotSent};
    HttpResult<std::unique_ptr<HttpConnection>> connection =
        AcquireForStart(command.target.endpoint);
    if (!connection) {
      reply = platform::DecodeCommandReply(connection.error());
    } else if (control_.MaySend(command, BootClock::now())) {
      const HttpResult<HttpResponse> response =
          (*connection)
              ->Exchange(platform::EncodeStart(command),
                         ToTimeout(command.timeout));
      reply = platform::DecodeCommandReply(response);
      if (response)
        pool_.Release(command.target.endpoint, std::move(*connection));
      else
        pool_.Forget(command.target.endpoint);
    }
    const Time now = BootClock::now();
    control_.dispatcher().DidStart(command, reply.answer, reply.clock_ms, now);
    control_.Pump(now);
  });
}

HttpResult<std::unique_ptr<HttpConnection>> CommandSender::AcquireForStart(
    Endpoint worker) {
  bool was_closed = false;
  if (auto connection = pool_.TakeIdle(worker, was_closed))
    return connection;
  // While the connection of the last report is open, its process lives. Workers
  // may close others that are idle.
  if (auto witness = renew_pool_.TakeIdle(worker, was_closed)) {
    renew_pool_.Release(worker, std::move(witness));
  } else if (was_closed) {
    return HttpError{.failure = HttpFailure::kNotSent,
                     .reason = "the worker has closed its connections"};
  }
  return pool_.Acquire(worker);
}

void CommandSender::Stop(StopCommand&& command) {
  fibers_.Run([this, command = std::move(command)] {
    const HttpResult<HttpResponse> response =
        pool_.Exchange(command.target.endpoint, platform::EncodeStop(command),
                       ToTimeout(command.timeout));
    const Time now = BootClock::now();
    control_.dispatcher().DidStop(
        command, platform::DecodeCommandReply(response).answer, now);
    control_.Pump(now);
  });
}

void CommandSender::Renew(RenewCommand&& command) {
  fibers_.Run([this, command = std::move(command)] {
    platform::RenewReply reply{.answer = CommandAnswer::kNotSent};
    HttpResult<std::unique_ptr<HttpConnection>> connection =
        renew_pool_.Acquire(command.target.endpoint, command.fresh_connection);
    if (!connection) {
      reply = platform::DecodeRenewReply(connection.error());
    } else if (BootClock::now() <= command.send_before) {
      const HttpResult<HttpResponse> response =
          (*connection)
              ->Exchange(platform::EncodeRenew(command),
                         ToTimeout(command.timeout));
      reply = platform::DecodeRenewReply(response);
      if (response)
        renew_pool_.Release(command.target.endpoint, std::move(*connection));
    }
    const Time now = BootClock::now();
    control_.dispatcher().DidRenew(command, reply.answer, reply.report, now);
    control_.Pump(now);
  });
}

bool CommandSender::CanConnect(Endpoint worker) {
  HttpResult<std::unique_ptr<HttpConnection>> connection =
      pool_.Acquire(worker, /*fresh=*/true);
  if (!connection)
    return false;
  pool_.Release(worker, std::move(*connection));
  return true;
}

}  // namespace mustardbank
