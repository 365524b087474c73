// The operators' HTTP interface: metrics, state dump, health and drain.
#pragma once

#include <functional>

#include "LibEntry/control_thread.h"
#include "LibFiber/fiber_thread.h"
#include "LibHttp/http_message.h"

namespace mustardbank {

// Serves a request from a fiber of `thread`. State and drain need an
// operator's token once the configuration names operators.
HttpResponse ServeOperator(ControlThread& control,
                           FiberThread& thread,
                           const HttpRequest& request,
                           const std::function<void()>& drain);

}  // namespace mustardbank
