#include "LibLeaseEntry/order_sender.h"

#include "platform/worker_protocol.h"

namespace mustardbank {

namespace {

// A worker accepts 64 connections in total, from all entry VMs.
constexpr ConnectionPool::Limits kOrderLimits{
    .idle = 6,
    .connect_timeout = std::chrono::milliseconds(80)};
constexpr ConnectionPool::Limits kHoldLimits{
    .idle = 2,
    .connect_timeout = std::chrono::milliseconds(80)};

std::chrono::milliseconds ToTimeout(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

}  // namespace

OrderSender::OrderSender(boost::asio::io_context& io, LeaseControl& control)
    : control_(control), pool_(io, kOrderLimits), holds_(io, kHoldLimits) {}

void OrderSender::Start(StartOrder&& order) {
  fibers_.Run([this, order = std::move(order)] {
    platform::OrderReply reply{.answer = OrderAnswer::kNotSent};
    HttpResult<std::unique_ptr<HttpConnection>> connection =
        pool_.Acquire(order.target.endpoint);
    if (!connection) {
      reply = platform::DecodeOrderReply(connection.error());
    } else if (BootClock::now() <= order.send_before) {
      // Not sent if it is too late: the process may have been paused since the
      // dispatcher decided on it.
      const HttpResult<HttpResponse> response =
          (*connection)
              ->Exchange(platform::EncodeStart(order),
                         ToTimeout(order.timeout));
      reply = platform::DecodeOrderReply(response);
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

void OrderSender::Stop(StopOrder&& order) {
  fibers_.Run([this, order = std::move(order)] {
    const HttpResult<HttpResponse> response =
        pool_.Exchange(order.target.endpoint, platform::EncodeStop(order),
                       ToTimeout(order.timeout));
    const Time now = BootClock::now();
    control_.dispatcher().DidStop(
        order, platform::DecodeOrderReply(response).answer, now);
    control_.Pump(now);
  });
}

void OrderSender::Hold(HoldOrder&& order) {
  fibers_.Run([this, order = std::move(order)] {
    const HttpResult<HttpResponse> response =
        holds_.Exchange(order.target.endpoint, platform::EncodeHold(order),
                        ToTimeout(order.timeout), order.fresh_connection);
    const platform::HoldReply reply = platform::DecodeHoldReply(response);
    const Time now = BootClock::now();
    control_.dispatcher().DidHold(order, reply.answer, reply.report, now);
    control_.Pump(now);
  });
}

bool OrderSender::Reaches(Endpoint worker) {
  HttpResult<std::unique_ptr<HttpConnection>> connection =
      pool_.Acquire(worker, /*fresh=*/true);
  if (!connection)
    return false;
  pool_.Release(worker, std::move(*connection));
  return true;
}

}  // namespace mustardbank
