// The links of one entry VM to its peers, and to workers of other data centres,
// as a process of its own that a script can disturb.
//
// The entry VM reaches the platform's store through this process. Calls and
// answers pass unchanged, but for the addresses of the peers and workers that
// the plan names: in their place stand those of proxies here, one for each,
// which forward connections and datagrams.
//
// usage: door_3 PLAN
// PLAN is a JSON file with:
//   store: address of the platform's store
//   peers: names of entry VMs           workers: ids of workers
//   round_trip_us: of the links       cuts_store: whether a cut of all links
//     holds up the calls to the store, too
// Prints the address of the store's proxy. POST /link/MODE, or /link/MODE/NAME
// for the link to one peer or worker, with MODE one of:
//   normal
//   cut: nothing passes, and connections can't be opened. The bytes of open
//     connections are held up. After the next normal, they pass when TCP would
//     send them again: 0.2, 0.6, 1.4, 3.0 and 6.2 s after they were sent first
//     (its least time-out of 0.2 s, doubled each time). The end of a connection
//     passes a round trip later, as its segment is sent again once the bytes
//     before it are confirmed.
// The answer says how often anything was forwarded and held up, for the record.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "LibCore/base64.h"
#include "LibCore/endpoint.h"
#include "LibFiber/fiber_thread.h"
#include "LibHttp/http_client.h"
#include "LibHttp/http_server.h"

namespace json = boost::json;
using namespace mustardbank;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStoreTimeout{40'000};
constexpr int kPollMs = 1;

enum class Mode { kNormal, kCut };

using Clock = std::chrono::steady_clock;

constexpr milliseconds kFirstRetransmission{200};

struct LinkState {
  std::atomic<Mode> mode{Mode::kNormal};
  std::atomic<int> connections{0};
  std::atomic<int> passed{0};  // pieces of bytes
  std::atomic<int> held{0};
  std::chrono::microseconds round_trip{0};
};

// When TCP sends bytes again that it first sent at `sent`.
Clock::time_point NextRetransmission(Clock::time_point sent,
                                     Clock::time_point now) {
  Clock::time_point next = sent;
  for (milliseconds wait = kFirstRetransmission; next < now; wait *= 2)
    next += wait;
  return next;
}

sockaddr_in ToAddress(Endpoint endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  address.sin_addr.s_addr = htonl(endpoint.ip);
  return address;
}

bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// A proxy of one address, for connections and datagrams.
class Link {
 public:
  Link(LinkState& state, Endpoint target) : state_(state), target_(target) {
    for (int i = 0; i < 50 && !Bind(); ++i) {
    }
    std::thread([this] { Accept(); }).detach();
    std::thread([this] { ForwardDatagrams(); }).detach();
  }

  Endpoint endpoint() const { return endpoint_; }

 private:
  // The same port for connections and datagrams.
  bool Bind() {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = ToAddress({.ip = 0x7F000001, .port = 0});
    ::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    datagrams_ = ::socket(AF_INET, SOCK_DGRAM, 0);
    if (::bind(datagrams_, reinterpret_cast<sockaddr*>(&address),
               sizeof address) != 0) {
      ::close(listener_);
      ::close(datagrams_);
      return false;
    }
    ::listen(listener_, 128);
    endpoint_ = {.ip = 0x7F000001, .port = ntohs(address.sin_port)};
    return true;
  }

  void Accept() {
    std::vector<int> fillers;
    while (true) {
      const bool is_cut = state_.mode == Mode::kCut;
      if (is_cut && fillers.empty()) {
        // A full queue of connections: the system drops further ones, as a cut
        // link does.
        ::listen(listener_, 0);
        for (int i = 0; i < 4; ++i) {
          const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
          const sockaddr_in address = ToAddress(endpoint_);
          ::connect(filler, reinterpret_cast<const sockaddr*>(&address),
                    sizeof address);
          fillers.push_back(filler);
        }
      } else if (!is_cut && !fillers.empty()) {
        for (const int filler : fillers)
          ::close(filler);
        fillers.clear();
        // What is in the queue was opened during the cut.
        pollfd ready{.fd = listener_, .events = POLLIN, .revents = 0};
        while (::poll(&ready, 1, 0) == 1)
          ::close(::accept(listener_, nullptr, nullptr));
        ::listen(listener_, 128);
      }
      pollfd ready{.fd = listener_, .events = POLLIN, .revents = 0};
      if (is_cut || ::poll(&ready, 1, kPollMs) != 1) {
        std::this_thread::sleep_for(milliseconds(is_cut ? kPollMs : 0));
        continue;
      }
      const int client = ::accept(listener_, nullptr, nullptr);
      if (client < 0)
        continue;
      std::thread([this, client] { Forward(client); }).detach();
    }
  }

  struct Direction {
    int from = -1;
    int to = -1;
    std::string held;
    std::optional<Clock::time_point> held_since;  // while a cut holds bytes up
    Clock::time_point pass_at;                    // after the cut
    bool is_closed = false;                       // the sender has closed
    bool is_done = false;                         // and that was passed on
  };

  void Forward(int client) {
    const int server = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = ToAddress(target_);
    if (::connect(server, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
      ::close(client);
      ::close(server);
      return;
    }
    const int on = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ++state_.connections;
    Direction directions[2] = {{.from = client, .to = server},
                               {.from = server, .to = client}};
    while (!directions[0].is_done || !directions[1].is_done) {
      bool has_moved = false;
      for (Direction& way : directions)
        has_moved = Move(way) || has_moved;
      if (!has_moved)
        Wait(directions);
    }
    ::close(client);
    ::close(server);
  }

  static void Wait(const Direction* directions) {
    pollfd ready[2];
    nfds_t count = 0;
    for (int i = 0; i < 2; ++i) {
      if (!directions[i].is_closed)
        ready[count++] = {
            .fd = directions[i].from, .events = POLLIN, .revents = 0};
    }
    ::poll(ready, count, kPollMs);
  }

  // Returns whether anything was read or passed on.
  bool Move(Direction& way) {
    bool has_moved = false;
    if (!way.is_closed) {
      char buffer[16384];
      const ssize_t n = ::recv(way.from, buffer, sizeof buffer, MSG_DONTWAIT);
      if (n > 0) {
        way.held.append(buffer, static_cast<std::size_t>(n));
        has_moved = true;
      } else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
        way.is_closed = true;
        has_moved = true;
      }
    }
    const Clock::time_point now = Clock::now();
    if (state_.mode == Mode::kCut) {
      if (!way.held_since && (!way.held.empty() || way.is_closed)) {
        way.held_since = now;
        ++state_.held;
      }
      if (way.held_since)
        way.pass_at = NextRetransmission(*way.held_since, now);
      return has_moved;
    }
    if (way.held_since && now < way.pass_at)
      return has_moved;
    if (!way.held.empty()) {
      ++state_.passed;
      if (!SendAll(way.to, std::exchange(way.held, "")))
        way.is_closed = true;
      if (way.held_since && way.is_closed)
        std::this_thread::sleep_for(state_.round_trip);
      has_moved = true;
    }
    way.held_since.reset();
    if (way.is_closed && !way.is_done) {
      ::shutdown(way.to, SHUT_WR);
      way.is_done = true;
    }
    return has_moved;
  }

  void ForwardDatagrams() {
    const sockaddr_in address = ToAddress(target_);
    std::vector<char> buffer(65536);
    while (true) {
      const ssize_t n = ::recv(datagrams_, buffer.data(), buffer.size(), 0);
      if (n >= 0 && state_.mode == Mode::kNormal)
        ::sendto(datagrams_, buffer.data(), static_cast<std::size_t>(n), 0,
                 reinterpret_cast<const sockaddr*>(&address), sizeof address);
    }
  }

  LinkState& state_;
  const Endpoint target_;
  Endpoint endpoint_;
  int listener_ = -1;
  int datagrams_ = -1;
};

class Door {
 public:
  Door(FiberThread& thread, const json::object& plan)
      : thread_(thread),
        store_(Endpoint::Parse(std::string(plan.at("store").as_string()))
                   .value()) {
    cuts_store_ = plan.at("cuts_store").as_bool();
    round_trip_ =
        std::chrono::microseconds(plan.at("round_trip_us").as_int64());
    for (const json::value& peer : plan.at("peers").as_array())
      Add("member/", std::string(peer.as_string()), "endpoint");
    for (const json::value& worker : plan.at("workers").as_array())
      Add("", std::string(worker.as_string()), "address");
  }

  HttpResponse Serve(const HttpRequest& request) {
    if (request.target.starts_with("/link"))
      return SetMode(request.target);
    while (is_store_cut_)
      SleepFiber(milliseconds(kPollMs));
    auto answer = ExchangeOnce(thread_.io(), store_, request, kStoreTimeout);
    if (!answer)
      return {.status = 503};
    answer->headers.clear();
    if (request.method == "GET" && answer->status == 200)
      answer->body = WithProxies(answer->body);
    return *answer;
  }

 private:
  struct Target {
    std::string name;   // of the peer or worker
    std::string field;  // with its address, of its row
    LinkState state;
    std::unique_ptr<Link> link;
  };

  void Add(const std::string& prefix,
           const std::string& name,
           const std::string& field) {
    Target& target = targets_[prefix + name];
    target.name = name;
    target.field = field;
    target.state.round_trip = round_trip_;
  }

  // `path` is /link/MODE or /link/MODE/NAME.
  HttpResponse SetMode(const std::string& path) {
    const std::string rest = path.substr(std::string("/link/").size());
    const std::size_t slash = rest.find('/');
    const Mode mode =
        rest.substr(0, slash) == "cut" ? Mode::kCut : Mode::kNormal;
    const std::string name =
        slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (name.empty())
      is_store_cut_ = cuts_store_ && mode == Mode::kCut;
    json::object answer;
    for (auto& [key, target] : targets_) {
      if (!name.empty() && target.name != name)
        continue;
      target.state.mode = mode;
      answer[target.name] = {{"connections", target.state.connections.load()},
                             {"passed", target.state.passed.load()},
                             {"held", target.state.held.load()}};
    }
    return {.body = json::serialize(answer)};
  }

  // Puts the addresses of the links in place of those in the rows.
  std::string WithProxies(const std::string& body) {
    json::error_code error;
    json::value page = json::parse(body, error);
    if (error || !page.is_object() || !page.as_object().contains("rows"))
      return body;
    for (json::value& row : page.at("rows").as_array()) {
      json::object& object = row.as_object();
      const auto it = targets_.find(std::string(object.at("key").as_string()));
      if (it == targets_.end() || object.contains("deleted"))
        continue;
      Target& target = it->second;
      const auto text = DecodeBase64(std::string(object["value"].as_string()));
      json::value value = json::parse(text.value_or(""), error);
      if (error || !value.is_object())
        continue;
      json::value& address = value.as_object()[target.field];
      if (!target.link)
        target.link = std::make_unique<Link>(
            target.state,
            Endpoint::Parse(std::string(address.as_string())).value());
      address = target.link->endpoint().ToString();
      object["value"] = EncodeBase64(json::serialize(value));
    }
    return json::serialize(page);
  }

  FiberThread& thread_;
  const Endpoint store_;
  std::chrono::microseconds round_trip_{0};
  bool cuts_store_ = false;
  bool is_store_cut_ = false;
  std::map<std::string, Target> targets_;  // by the key of a row
};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::cerr << "usage: door_3 PLAN\n";
    return 64;
  }
  std::ifstream file(argv[1]);
  const json::object plan =
      json::parse(std::string{std::istreambuf_iterator<char>(file),
                              std::istreambuf_iterator<char>()})
          .as_object();
  FiberThread thread;
  const auto door = std::make_shared<Door>(thread, plan);
  HttpServer server(HttpServerLimits{}, [door](HttpRequest&& request) {
    return door->Serve(request);
  });
  const auto endpoint =
      server.Listen({&thread}, Endpoint{.ip = 0x7F000001, .port = 0});
  std::cout << endpoint.value().ToString() << std::endl;
  while (true)
    ::pause();
}
