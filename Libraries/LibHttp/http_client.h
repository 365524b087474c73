// One HTTP/1.1 client connection, used by one fiber at a time.
#pragma once

#include <boost/system/result.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "LibCore/endpoint.h"
#include "LibCore/enum_names.h"
#include "LibHttp/http_message.h"

namespace boost::asio {
class io_context;
}

namespace mustardbank {

// How an exchange failed. Only with kTimedOut and kLost may the server have
// received the request.
enum class HttpFailure { kNotConnected, kRefused, kNotSent, kTimedOut, kLost };

inline constexpr EnumNames<HttpFailure, 5> kHttpFailureNames{
    {"not connected", "connection refused", "not sent", "timed out",
     "connection lost"}};

struct HttpError {
  HttpFailure failure = HttpFailure::kNotConnected;
  std::string reason;
};

// The result of a call that suspends its fiber. This is not a leaf::result,
// since LEAF requires the error handlers of a thread to nest like one call
// stack, and fibers that switch on a thread do not nest.
template <typename T>
using HttpResult = boost::system::result<T, HttpError>;

class HttpConnection {
 public:
  explicit HttpConnection(boost::asio::io_context& io);
  ~HttpConnection();

  HttpResult<void> Connect(Endpoint endpoint,
                           std::chrono::milliseconds timeout);

  // Sends a request and waits for its response. After a failure the connection
  // is closed and must not be used again.
  HttpResult<HttpResponse> Exchange(const HttpRequest& request,
                                    std::chrono::milliseconds timeout);

  // Returns whether the connection is idle and still open.
  bool IsReusable();
  void Close();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Connects, exchanges one request and closes.
HttpResult<HttpResponse> ExchangeOnce(boost::asio::io_context& io,
                                      Endpoint endpoint,
                                      const HttpRequest& request,
                                      std::chrono::milliseconds timeout);

}  // namespace mustardbank
