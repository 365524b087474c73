#include "LibEntry/operator_api.h"

#include <string>
#include <type_traits>

#include "LibEntry/caller_api.h"
#include "LibEntry/state_dump.h"
#include "LibFiber/await.h"

namespace mustardbank {

namespace {

// Calls `read_state` with the dispatch state on the control thread and returns
// its result. Suspends the calling fiber, which must run on `thread`.
template <typename StateReader>
auto InspectFromFiber(ControlThread& control,
                      FiberThread& thread,
                      StateReader read_state) {
  using Value = std::invoke_result_t<StateReader, const DispatchState&>;
  FiberSignal signal;
  Value value{};
  control.Inspect([&](const DispatchState& state) {
    value = read_state(state);
    thread.Post([&signal] { signal.Raise(); });
  });
  signal.Wait();
  return value;
}

bool IsAllowed(const DispatchState& state, const std::string& token_digest) {
  return state.configuration.operators.empty() ||
         state.configuration.FindOperator(token_digest) != nullptr;
}

HttpResponse ServeHealth(ControlThread& control, FiberThread& thread) {
  const bool is_ready =
      InspectFromFiber(control, thread, [](const DispatchState& state) {
        return state.phase == Phase::kServing &&
               state.configuration.version > 0;
      });
  if (!is_ready)
    return ProblemResponse(503, "Not serving",
                           "This VM is joining or leaving, "
                           "or has no configuration.");
  return HttpResponse{.content_type = std::string(kTextType), .body = "ok\n"};
}

HttpResponse ServeMetrics(ControlThread& control, FiberThread& thread) {
  return HttpResponse{
      .content_type = "text/plain; version=0.0.4; charset=utf-8",
      .body = InspectFromFiber(control, thread, [](const DispatchState& state) {
        return DumpMetrics(state, BootClock::now());
      })};
}

HttpResponse Unauthorized() {
  HttpResponse response = ProblemResponse(401, "An operator's token is needed",
                                          "Authorization: Bearer TOKEN");
  response.headers.emplace_back("WWW-Authenticate", "Bearer");
  return response;
}

}  // namespace

HttpResponse ServeOperator(ControlThread& control,
                           FiberThread& thread,
                           const HttpRequest& request,
                           const std::function<void()>& drain) {
  const std::string_view path = request.path();
  if (request.method == "GET" && path == "/healthz")
    return ServeHealth(control, thread);
  if (request.method == "GET" && path == "/metrics")
    return ServeMetrics(control, thread);
  const bool is_dump = request.method == "GET" && path == "/state";
  const bool is_drain = request.method == "POST" && path == "/drain";
  if (!is_dump && !is_drain) {
    return ProblemResponse(404, "No such resource",
                           "Use GET /healthz, /metrics, /state, POST /drain.");
  }
  const std::string token = BearerTokenDigest(request);
  const std::string dump =
      InspectFromFiber(control, thread, [&](const DispatchState& state) {
        return IsAllowed(state, token) ? DumpState(state, BootClock::now())
                                       : std::string();
      });
  if (dump.empty())
    return Unauthorized();
  if (is_drain) {
    drain();
    return HttpResponse{.status = 202, .body = R"({"state":"draining"})"};
  }
  return HttpResponse{.body = dump};
}

}  // namespace mustardbank
