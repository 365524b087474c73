// HTTP interface for callers: turns requests into dispatcher events and replies
// into responses. Described in docs/API.md.
#pragma once

#include <string>
#include <string_view>

#include "LibDispatch/events.h"
#include "LibEntry/traffic_thread.h"
#include "LibHttp/http_message.h"

namespace mustardbank {

HttpResponse ServeCaller(TrafficThread& traffic, HttpRequest&& request);

// Returns the SHA-256 digest of the bearer token in the Authorization header in
// hexadecimal digits, or "" if there is no token.
std::string BearerTokenDigest(const HttpRequest& request);

HttpResponse ToResponse(Reply&& reply);

}  // namespace mustardbank
