// A small deployment on loopback: the project's lease-entry processes, and
// stand-ins of the platform's store, of workers and of callers that do what
// PROTOCOL.md says. Everything that is sent, answered and run is recorded.
#pragma once

#include <sys/types.h>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

// Milliseconds of the steady clock since the test began.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);
void SleepUntil(std::int64_t at_ms);
std::string EncodeBase64(const std::string& text);

class Record {
 public:
  explicit Record(const std::string& file) : file_(file) {}
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// The platform's metadata store.
class Store {
 public:
  // `before_answer` sees each answer to a read of the table of workers before
  // it is sent.
  std::function<void(int entry)> before_worker_list = [](int) {};

  std::uint64_t Put(const std::string& table,
                    const std::string& key,
                    const std::string& value);
  Reply Serve(int entry, const Request& request);

 private:
  struct Row {
    std::string value;  // base64
    std::uint64_t version = 0;
    bool deleted = false;
  };
  json::object ToJson(const std::string& table,
                      const std::string& key,
                      const Row& row) const;
  Reply Get(const std::map<std::string, std::string>& query);
  Reply Feed(const std::map<std::string, std::string>& query);
  Reply Transact(const json::object& body);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::uint64_t version_ = 1;
};

// One start of a task on a worker.
struct Start {
  std::string worker;
  std::vector<std::string> labels;  // of the worker, in this lifetime
  std::string task;
  std::int64_t run = 0;
  std::int64_t began = 0;
  std::int64_t ended = -1;  // -1: still runs
  std::string how;
};

class Starts {
 public:
  std::size_t Add(Start start);
  void End(std::size_t index, const std::string& how);
  std::vector<Start> All();

 private:
  std::mutex mutex_;
  std::vector<Start> starts_;
};

// A worker. The spec of its tasks is their run time in milliseconds.
class Worker {
 public:
  struct Options {
    std::string id;
    std::string zone;
    std::vector<std::string> labels{"a"};
    std::int64_t cpu = 2000;
  };

  // The share of the orders that get no answer and are carried out 2 to 12 s
  // later, by the process that received them.
  std::atomic<double> late_share{0};

  Worker(Options options, Store& store, Starts& starts, Record& record);

  // Returns when the store has accepted the report.
  std::int64_t Register();
  std::int64_t Drain();
  void Crash();
  // Starts again at the same address, under the same id.
  void Restart(std::vector<std::string> labels);
  const std::string& id() const { return options_.id; }

 private:
  struct Run {
    std::int64_t number = 0;
    std::int64_t ends_at = 0;
    std::int64_t work_ms = 0;
    std::int64_t stops_at = -1;
    std::size_t index = 0;
  };
  struct End {
    std::int64_t sequence = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };

  Reply Serve(const Request& request);
  // With the lock held.
  Reply Execute(const Request& request, std::unique_lock<std::mutex>& lock);
  Reply StartTask(const json::object& body);
  Reply StopTask(const json::object& body);
  Reply Hold(const json::object& body, std::unique_lock<std::mutex>& lock);
  Reply Conflict(const std::string& reason);
  // All with the lock held.
  std::int64_t Clock() const;
  void ExtendLease(std::int64_t deadline);
  void EndDue();
  void Close(const std::string& task, const std::string& how);

  Options options_;
  Store& store_;
  Starts& starts_;
  Record& record_;
  HttpServer server_;
  std::mutex mutex_;
  std::condition_variable ended_signal_;
  bool is_up_ = true;
  bool is_draining_ = false;
  int life_ = 0;
  std::int64_t born_ = 0;        // milliseconds since 1970
  std::int64_t started_at_ = 0;  // NowMs
  std::int64_t token_ = 0;
  std::int64_t lease_until_ = 0;
  std::int64_t next_end_ = 1;
  std::int64_t sequence_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, std::int64_t> closed_;
  std::vector<End> ends_;
  // Orders to carry out late, by the time at which.
  std::multimap<std::int64_t, Request> late_orders_;
};

struct Answer {
  int status = 0;
  std::string body;
  std::int64_t sent = 0;
  std::int64_t answered = 0;
};

// A submitted job, answered later.
struct Submission {
  std::string id;
  std::shared_ptr<Answer> answer = std::make_shared<Answer>();
  std::shared_ptr<std::thread> thread;

  const Answer& Wait() {
    if (thread && thread->joinable())
      thread->join();
    return *answer;
  }
};

class Deployment {
 public:
  struct Entry {
    std::string name;
    std::string zone;
    pid_t pid = -1;
    unsigned short callers = 0;
    unsigned short readiness = 0;
    std::unique_ptr<HttpServer> store;
  };

  // `folder` gets record.txt.
  explicit Deployment(const std::string& folder);
  ~Deployment();

  void AddWorker(Worker::Options options);
  // Starts one entry process.
  void AddEntry(const std::string& name, const std::string& zone);
  // With a route for each of `queues`.
  void PutConfiguration(
      std::int64_t version,
      double stretch,
      int target_ms,
      const std::vector<std::string>& queues = {"warm", "jobs", "long"});
  // Waits until each entry is ready and has served a job. Returns false after
  // `timeout_ms`.
  bool AwaitService(std::int64_t timeout_ms);

  // The queues are "warm", which only AwaitService uses, "jobs" and "long".
  // `patience_ms`: the client leaves after this time.
  Submission Submit(int entry,
                    const std::string& queue,
                    const std::string& id,
                    const json::array& steps,
                    const std::string& spec,
                    std::int64_t deadline_ms,
                    std::optional<std::int64_t> patience_ms = std::nullopt);
  Answer Cancel(int entry, const std::string& queue, const std::string& id);

  std::string NewId();
  Worker& worker(const std::string& id) { return *workers_.at(id); }
  Entry& entry(int index) { return entries_.at(index); }
  Store& store() { return store_; }
  Starts& starts() { return starts_; }
  Record& record() { return record_; }
  // Ends the entry processes, and writes all starts to the record.
  void Finish();

 private:
  void Spawn(Entry& entry);

  Record record_;
  Store store_;
  Starts starts_;
  std::string temporary_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::vector<Entry> entries_;
  std::atomic<std::uint64_t> next_id_{0x5c0e7a2100000000};
  bool is_finished_ = false;
};

}  // namespace review
