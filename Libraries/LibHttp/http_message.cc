#include "LibHttp/http_message.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace mustardbank {

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (boost::algorithm::iequals(key, name))
      return value;
  }
  return {};
}

std::string_view HttpRequest::path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::string_view HttpRequest::query(std::string_view name) const {
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos)
    return {};
  std::string_view rest = std::string_view(target).substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name)
      return equals == std::string_view::npos ? "" : pair.substr(equals + 1);
  }
  return {};
}

HttpResponse ProblemResponse(unsigned status,
                             std::string_view title,
                             std::string_view detail) {
  HttpResponse response;
  response.status = status;
  response.content_type = kProblemType;
  response.body = boost::json::serialize(boost::json::value{
      {"type", "about:blank"},
      {"title", title},
      {"status", status},
      {"detail", detail},
  });
  return response;
}

}  // namespace mustardbank
