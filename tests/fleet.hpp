// Machines of a simulated cluster, each with a worker that behaves as the protocol says: it reports by
// itself, follows redirects, keeps its lease, fetches and runs tasks. A referee watches the rules at every
// step, from what machines really run and users were really told.
#pragma once

#include <boost/json/array.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model/model.hpp"
#include "net/http.hpp"
#include "wire/protocol.hpp"

namespace pineroad::test {

class Cluster;

class Fleet {
   public:
    explicit Fleet(Cluster& cluster) : cluster_(cluster) {}

    // What can be wrong with a machine.
    struct Trouble {
        bool hung = false;  // executes nothing, and may go on at any moment
        bool deaf = false;  // its reports arrive; answers and direct commands are lost
        bool mute = false;  // reaches no controller, while direct commands reach it
    };
    struct Task {
        model::TaskId id;
        std::uint64_t attempt = 0;
        model::TaskState state = model::TaskState::fetching;
        model::ExitCause cause = model::ExitCause::none;
        bool saved = false;
        double fetched_at = 0, checkpointed_run_s = 0, saves_until = 0;
    };
    struct Machine {
        std::string id, zone, type;
        bool spot = false;
        Trouble trouble;
        double provisioned_at = 0;
        std::uint64_t agent_epoch = 1, sequence = 0, fencing_token = 0;
        std::vector<Task> tasks;
        int node = 0;  // that it reports to
        double lease_from = 0, next_report = 0, sent_at = -1;
        bool changed = false;
        std::shared_ptr<std::optional<net::Reply>> answer;
        std::vector<std::pair<int, std::string>> held_commands;  // direct ones, while it hangs
    };

    void add(const std::string& id, const std::string& zone, const std::string& type, bool spot);
    void step(double dt);
    // /do, and nothing from a machine that hangs or is deaf.
    std::optional<net::Reply> command(int from, const std::string& machine, const std::string& body);
    net::Reply cloud(const std::string& method, const std::string& target, const std::string& body);
    void submitted(const boost::json::object& job);
    // A user was told of a job's state, by any answer.
    void told(const std::string& job, const std::string& status);

    [[nodiscard]] bool runs(const std::string& job) const;
    [[nodiscard]] std::size_t running() const;  // tasks
    [[nodiscard]] Machine& machine_of(const std::string& job);
    std::size_t capacity = 0;  // machines that the cloud has; they are up at once
    std::map<std::string, Machine> machines;
    std::map<std::string, double> run_s;  // by task; otherwise default_run_s
    double default_run_s = 1000, fetch_s = 2;
    double team_gpus_max = 2;  // of the team "capped", as in settings()
    int killed_by_lease = 0, starts = 0, starts_after_told = 0, stops = 0;
    double heartbeat_period_s = 3, worker_lease_s = 36, cancellation_timeout_s = 66;
    // Copies of reports that arrive later: of every report, so long after it.
    double copy_after_s = 0;
    // Reports are held back on the way to the controllers and arrive when this is reset.
    bool hold_reports = false;
    // Machines of this zone reach that controller only, and nobody else does.
    std::string cut_zone;
    int cut_zone_node = -1;

   private:
    void report(Machine& m);
    void answered(Machine& m);
    void execute(Machine& m, const wire::Json& doc);
    void work(Machine& m, double dt);
    void judge(const Machine& m, const Task& t);
    [[nodiscard]] std::string body_of(const Machine& m) const;
    Cluster& cluster_;
    struct Late {
        double at = 0;
        int node = 0;
        std::string body;
    };
    std::deque<Late> late_;
    std::map<std::string, boost::json::array> provisioned_;
    int last_machine_ = 0;
    std::map<std::string, double> cancelled_told_;
    struct Job {
        std::string team, zone;
        std::uint64_t tasks = 1;
        double gpus = 1;
        std::vector<std::string> dependencies;
        bool done_told = false;
        std::set<std::uint32_t> done;
    };
    std::map<std::string, Job> jobs_;
    // When the user of some job before this one was told that it is cancelled, the earliest.
    [[nodiscard]] std::optional<double> cancelled_before(const std::string& job) const;
    [[nodiscard]] bool reaches(const Machine& m, int node) const;
    void judge_start(const Machine& m, const Task& t) const;
    std::map<std::string, bool> complained_;
};

}  // namespace pineroad::test
