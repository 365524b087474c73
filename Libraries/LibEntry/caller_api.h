// The callers' HTTP interface: turns requests into events and replies into
// responses. Described in docs/API.md.
#pragma once

#include <string>
#include <string_view>

#include "LibDispatch/events.h"
#include "LibEntry/traffic_thread.h"
#include "LibHttp/http_message.h"

namespace mustardbank {

HttpResponse ServeCaller(TrafficThread& traffic, HttpRequest&& request);

// The digest of the token in an Authorization header, or "".
std::string BearerTokenDigest(const HttpRequest& request);

HttpResponse ToResponse(Reply&& reply);

}  // namespace mustardbank
