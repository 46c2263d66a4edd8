// One controller: its servers, its clients, and the loops that work out the difference between what is wanted
// and what is. node.cpp: mirror, mesh and start; lease.cpp: leadership; leader.cpp: the term's loops;
// users.cpp: users.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>
#include <random>
#include <set>

#include "cluster/cluster_state.hpp"
#include "config/constants.hpp"
#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "leadership/lease_guard.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/notification.hpp"
#include "net/socket_budget.hpp"
#include "store/watch_cache.hpp"
#include "store/write_rate_limiter.hpp"
#include "wire/peer_protocol.hpp"

namespace pineroad::controller {

// A term this node holds. Loops keep a pointer and end when it is over.
struct Term {
    std::uint64_t fencing_token = 0, lease = 0, nonce = 0, mod_revision = 0;
    double started = 0;
    bool over = false;
    bool lease_unprovable = false;  // without a provable lease: what is silent may only be cut off from us
    std::unique_ptr<cluster::ClusterState> cluster_state;
    net::Notification dirty, cloud, replan;
    std::map<std::string, net::Timer*> held;  // reports whose answers wait for work, by machine
    struct Stops {
        double decided = 0;
        cluster::DirectCommands commands;
    };
    std::deque<Stops> stops;  // not on their way yet; those that save first
    std::size_t max_stops_in_flight = 0;
    store::WriteRateLimiter writes;
};

class Controller {
   public:
    using Reply = net::Reply;
    template <class T>
    using awaitable = net::awaitable<T>;

    Controller(net::asio::io_context& io, const config::Settings& settings, const config::Tuning& tuning,
               net::Connect connect, std::uint64_t seed, std::uint64_t record_format = wire::records::format);
    void start();      // servers and loops
    void run_loops();  // the loops alone: requests come by front() and mesh()
    awaitable<Reply> front(net::Request request);
    awaitable<Reply> mesh(net::Request request);

   private:
    // --- node.cpp ---
    net::HttpServer::Limits public_server_limits();
    [[nodiscard]] net::HttpServer::Limits peer_server_limits() const;
    void spawn(awaitable<void> loop);
    awaitable<void> watch_loop();
    awaitable<bool> load_watch_cache();
    awaitable<void> peer_loop(std::size_t peer);
    awaitable<void> event_loop_lag_loop();
    // Looks up how the dependencies of live jobs ended, where the mirror does not tell.
    awaitable<void> dependency_loop();
    awaitable<std::optional<Reply>> state(std::string method, std::string target, std::string body = {},
                                          double timeout_s = constants::store_timeout_s);
    // True once everything committed before the call is in the mirror.
    awaitable<bool> linearizable_read();
    [[nodiscard]] double pacing_interval(double share) const;
    void observe_token(std::uint64_t fencing_token, const std::string& from);
    wire::PeerMessage gossip() const;
    // Names a cancellation to the leader before its user is told.
    awaitable<void> forward_cancellation(std::uint64_t revision, std::string job);
    void apply_peer_request(const wire::PeerMessage& question);
    void apply_peer_response(std::size_t peer, double sent, wire::PeerMessage answer);
    [[nodiscard]] bool store_down_for_all() const;
    [[nodiscard]] double now() const;
    [[nodiscard]] static std::int64_t wall_ms();
    int retry_after();

    // --- lease.cpp ---
    awaitable<void> election_loop();
    awaitable<std::shared_ptr<Term>> run_for_leader();
    awaitable<void> renew_lease(std::shared_ptr<Term> term);
    void end_term(Term& term, const char* why);
    [[nodiscard]] bool may_start(const Term& term) const;
    [[nodiscard]] bool may_answer_heartbeats(const Term& term) const;

    // --- leader.cpp ---
    bool load_cluster_state(Term& term);
    awaitable<void> commit_loop(std::shared_ptr<Term> term);
    awaitable<void> plan_loop(std::shared_ptr<Term> term);
    awaitable<void> machine_list_loop(std::shared_ptr<Term> term);
    awaitable<void> machine_types_loop(std::shared_ptr<Term> term);
    awaitable<void> provisioning_loop(std::shared_ptr<Term> term);
    awaitable<void> release_loop(std::shared_ptr<Term> term);
    awaitable<void> format_loop(std::shared_ptr<Term> term);
    [[nodiscard]] std::set<std::string> format_readers() const;
    [[nodiscard]] bool format_agreed() const;
    void apply_committed(Term& term, const cluster::WriteBatch& batch, std::uint64_t revision);
    awaitable<void> wait_for_cloud_slot();
    void queue_stops(Term& term);
    void send_queued(const std::shared_ptr<Term>& term);
    awaitable<void> send_stops(std::shared_ptr<Term> term, cluster::DirectCommands commands);
    void plan(Term& term);
    awaitable<Reply> handle_heartbeat(std::string body);

    // --- users.cpp ---
    awaitable<Reply> submit(std::string body);
    // uncertain: it may have been accepted; conflict: the job is known.
    enum class Acceptance { accepted, conflict, too_large, uncertain };
    awaitable<Acceptance> accept(model::JobSpec spec);
    awaitable<Reply> poll(std::string id);
    awaitable<Reply> cancel(std::string id);
    Reply health() const;
    [[nodiscard]] bool served() const;  // by the state service, a moment ago
    Reply reject(std::string_view why);
    Reply unavailable() { return reject("state service unavailable"); }
    Reply shed_load();
    // What a job is to its users, by a read that was sent after the question.
    enum class JobPresence { unknown, live, done, cancelled, undecidable };
    static JobPresence presence_of(model::FinalStatus final);
    awaitable<JobPresence> job_presence(std::string id);
    Reply answer(const std::string& id, JobPresence job_presence);
    // Why the job can't be accepted; nothing: it can.
    awaitable<std::optional<Reply>> admission_error(const model::JobSpec& spec);
    awaitable<std::optional<Reply>> dependency_admission_error(const model::JobSpec& spec);
    enum class Dependency { known, service, unknown, undecidable };
    [[nodiscard]] std::optional<Dependency> remembered_dependency(const std::string& id);
    awaitable<Dependency> look_up_dependency(std::string id);
    // The final state, from memory or the state service; nothing when that can't be told now.
    awaitable<std::optional<std::optional<model::FinalStatus>>> find_final(std::string id);
    // Looks up these; false: not all could be told.
    awaitable<bool> resolve(std::vector<std::string> dependencies);

    struct PeerContact {
        double contacted_at = -1;     // when the request was sent that its last answer belongs to
        double answered_at = -1;      // when that answer came
        double last_request_at = -1;  // when its last question came
        bool reads_format = false;    // it was seen to read the present record format
        wire::PeerMessage last;
        [[nodiscard]] leadership::LeaseGuard::Contact contact() const {
            return {contacted_at, static_cast<double>(last.store_contact_age_ms) / 1000.0};
        }
    };

    net::asio::io_context& io_;
    const config::Settings settings_;
    const config::Tuning tuning_;
    const net::SocketBudget sockets_;
    const std::uint64_t record_format_;  // that this process reads and, once all do, writes
    net::HttpServer public_server_, peer_server_;
    net::Connect connect_;
    std::unique_ptr<net::Client> state_, cloud_;
    std::vector<std::unique_ptr<net::Client>> peer_clients_;
    double started_at_;
    std::vector<PeerContact> peers_;
    store::WatchCache watch_cache_;
    std::shared_ptr<Term> term_;
    std::mt19937_64 random_;
    leadership::LeaseGuard lease_guard_;
    std::uint64_t highest_token_ = 0;
    std::string known_leader_;
    double last_store_contact_ = -1;                 // last answer of the state service
    leadership::LeaseGuard::Refusal store_refusal_;  // since then
    double last_heartbeat_ = -1;                     // a worker reported here
    double election_backoff_until_ = -1;
    bool asked_to_depend_ = false;  // by a user, here or at a peer
    double event_loop_lag_s_ = 0;
    double next_cloud_slot_ = 0;
    std::size_t submissions_ = 0, polls_ = 0;
    bool read_running_ = false;
    std::uint64_t reads_started_ = 0, reads_done_ = 0;
    bool read_succeeded_ = false;
    double last_read_sent_ = -1;
    net::Notification read_finished_, leadership_changed_;
};

// Runs a controller until the process is killed.
void run(const config::Settings& settings, const config::Tuning& tuning);

}  // namespace pineroad::controller
