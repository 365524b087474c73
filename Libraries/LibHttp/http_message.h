// HTTP/1.1 messages. This header does not include those of Boost.Beast.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mustardbank {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

inline constexpr std::string_view kJsonType = "application/json";
inline constexpr std::string_view kProblemType = "application/problem+json";
inline constexpr std::string_view kTextType = "text/plain; charset=utf-8";

// Returns the value of a header, or "" if it is missing. Names are compared
// without regard to case.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;

  std::string_view header(std::string_view name) const {
    return FindHeader(headers, name);
  }
  // Returns the target without its query.
  std::string_view path() const;
  // Returns the value of a query parameter, or "" if it is missing.
  std::string_view query(std::string_view name) const;
};

struct HttpResponse {
  unsigned status = 200;
  std::string content_type{kJsonType};
  HttpHeaders headers;
  std::string body;

  std::string_view header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

// A problem document (RFC 9457) as a response.
HttpResponse ProblemResponse(unsigned status,
                             std::string_view title,
                             std::string_view detail);

}  // namespace mustardbank
