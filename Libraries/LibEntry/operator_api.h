// HTTP interface for operators: metrics, state dump, health and drain.
#pragma once

#include <functional>

#include "LibEntry/control_thread.h"
#include "LibFiber/fiber_thread.h"
#include "LibHttp/http_message.h"

namespace mustardbank {

// Serves a request; call from a fiber of `thread`. /state and /drain require an
// operator's token if the configuration lists any operators.
HttpResponse ServeOperator(ControlThread& control,
                           FiberThread& thread,
                           const HttpRequest& request,
                           const std::function<void()>& drain);

}  // namespace mustardbank
