// What the pure scheduler sees and what it answers. No I/O, no clock: everything comes in by value.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "model/model.hpp"

namespace pineroad::sched {

struct MachineView {
    std::string id, type, zone;
    bool spot = false;
    bool ready = false;    // heard under this term and neither draining, faulty nor going away
    bool booting = false;  // rented, expected to come up: counts as room to come, gets no starts
    model::Resources free;
    std::vector<std::string> images;  // held or being fetched
    double idle_s = 0;                // since the last task; 0 while busy
    double running = 0;               // tasks on it
    std::set<std::string> classes;    // of those tasks
    bool busy = false;
};

struct JobView {
    const model::JobSpec* spec = nullptr;
    model::Priority priority = model::Priority::low;  // its own, or a higher one of a job after it
    std::vector<std::uint32_t> waiting;               // tasks free to be placed, ascending
    std::map<std::string, std::uint32_t> in_zone;     // its tasks by zone, unknown ones included
    double xfactor = 1;
    double waited_s = 0;    // as a waiter: since it came, or since it last ran
    double expected_s = 1;  // run time of a task, the guess corrected by what its class was seen to take
    double slack_s = 0;     // how long its start may still take without missing an aim
    std::set<std::string> avoid;      // machines that failed it
    bool in_pipeline = false;         // one task lost with its machine is late for all jobs after it
    std::uint32_t most = UINT32_MAX;  // tasks that may be placed now (value size of its record)
};

struct RunningGang {
    const model::JobSpec* spec = nullptr;
    model::Priority priority = model::Priority::low;  // as of a waiter
    double xfactor = 1;                               // constant while it runs
    std::vector<std::string> machines;                // one entry a task
    bool stoppable = false;                           // running, checkpointing, not being stopped already
};

// A kind of machine that could be rented.
struct Pool {
    const model::MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
    bool refused = false;  // the cloud had none a moment ago
    [[nodiscard]] double price() const { return spot ? type->spot_price : type->price; }
};

struct TeamUse {
    double cpus = 0, gpus = 0;
};

// What a class of jobs has been asking for lately.
struct ClassDemand {
    model::JobSpec sample;  // a recent job of the class
    double arrivals_per_s = 0;
    std::optional<double> start_within_s;  // tightest starting aim
    double running = 0;                    // its tasks on machines now
};

struct Picture {
    std::vector<MachineView> machines;
    std::vector<JobView> jobs;
    std::vector<RunningGang> gangs;
    std::vector<Pool> pools;
    std::map<std::string, TeamUse> use;
    std::map<std::string, ClassDemand> demand;
    model::CategoryMeans means;
    const config::Settings* settings = nullptr;
    const config::Tuning* tuning = nullptr;
};

struct Start {
    std::string job;
    std::uint32_t index = 0;
    std::string machine;
};
struct Rent {
    std::string type, zone;
    bool spot = false;
    std::uint32_t count = 1;
};

// Waiting jobs in falling xfactor, each wherever it fits best. Updates free room and team use in the picture.
std::vector<Start> place(Picture& picture);

struct Suspension {
    std::string waiter;
    std::vector<std::string> victims;
};
// One round of the design's suspension: at most one waiter is served, its victims all or none.
std::optional<Suspension> suspend(const Picture& picture);
// A gang that found no victims for the holding wait, and the first machines that free up for it: it is served
// first, and nobody else starts there meanwhile. One at a time, the longest waiting; empty: none.
struct Hold {
    std::string job;
    std::set<std::string> machines;
};
Hold hold(const Picture& picture);

struct CapacityPlan {
    std::vector<Rent> rent;
    std::vector<std::string> give_back;
};
// To be called after place(): what is still waiting decides.
CapacityPlan capacity(Picture picture);

// --- shared by the parts -----------------------------------------------------------------------------------
// Those that wait for something, in falling xfactor. The argument must outlive the answer.
std::vector<JobView*> waiting_line(std::vector<JobView>& jobs);
// CPUs of an array's task or of a whole gang.
double width(const model::JobSpec& spec);
std::string category(const model::JobSpec& spec, const config::Tuning& tuning);
double xfactor(double waited_s, double estimate_s);
bool allowed_on(const model::JobSpec& spec, const std::string& type, const std::string& zone, bool spot);
// True when one more task in the zone keeps the job's Together and Spread.
bool zone_ok(const JobView& job, const std::string& zone);
// Whether the team's limit leaves room for n more tasks of the job.
bool within_limit(const Picture& picture, const model::JobSpec& spec, double n);
int slots(const model::JobSpec& spec, const model::Resources& room);
// Machines to have in reserve for the class, where its starting aim can't wait for one to boot.
int headroom(const Picture& picture, const ClassDemand& demand);
// What a task of the job costs on such a machine, over what it costs on the cheapest kind it may use; at
// least 1.
double price_ratio(const Picture& picture, const model::JobSpec& spec, const std::string& type, bool spot);
// The pool of every machine, as its place in `pools`; their number for machines of no known pool.
std::vector<std::size_t> pools_of(const Picture& picture);
// Number of pools (type, zone, kind) that can run a task of the job.
int choices(const Picture& picture, const model::JobSpec& spec);
// Machines kept from work that has more places to go: for every class, as many of those it is bound to as it
// uses, waits for and expects to need before one more could boot. Machine to the number of choices of that
// class: work with more choices than that may not start there.
std::map<std::string, int> reserved(const Picture& picture);

}  // namespace pineroad::sched
