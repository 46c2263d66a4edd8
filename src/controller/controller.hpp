// One controller: its servers, its clients, and the loops that work out the difference between what is wanted
// and what is.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>
#include <random>
#include <set>

#include "cluster/cluster_state.hpp"
#include "cluster/leader_term.hpp"
#include "config/constants.hpp"
#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "leadership/election.hpp"
#include "leadership/leadership_state.hpp"
#include "leadership/lease_guard.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/notification.hpp"
#include "net/socket_budget.hpp"
#include "store/linearizable_read.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"
#include "store/watch_loop.hpp"
#include "store/write_rate_limiter.hpp"
#include "wire/peer_protocol.hpp"

namespace pineroad::controller {

// What the leader keeps for one term, with the direct commands that wait to be sent.
struct LeaderTerm : cluster::LeaderTerm {
    using cluster::LeaderTerm::LeaderTerm;

    bool lease_unprovable = false;
    // Commands to be sent to one worker, and when that was decided.
    struct Stops {
        double decided = 0;
        cluster::DirectCommands commands;
    };
    std::deque<Stops> stops;  // not on their way yet; those that save first
    std::size_t max_stops_in_flight = 0;
};

class Controller : private leadership::PeerView, private leadership::LeaderWork {
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
    awaitable<void> peer_loop(std::size_t peer);
    awaitable<void> event_loop_lag_loop();
    // Looks up how the dependencies of live jobs ended, where the mirror does not tell.
    awaitable<void> dependency_loop();
    wire::PeerMessage gossip() const;
    // Names a cancellation to the leader before its user is told.
    awaitable<void> forward_cancellation(std::uint64_t revision, std::string job);
    void apply_peer_request(const wire::PeerMessage& question);
    void apply_peer_response(std::size_t peer, double sent, wire::PeerMessage answer);
    [[nodiscard]] bool store_down_for_all() const;
    [[nodiscard]] double now() const;
    [[nodiscard]] static std::int64_t wall_ms();
    int retry_after();

    // --- leadership ---
    [[nodiscard]] std::vector<leadership::PeerStoreContact> store_contacts() const override;
    [[nodiscard]] bool heartbeats_reach_peer() const override;
    bool prepare(const std::shared_ptr<leadership::Term>& term) override;
    void start_term() override;
    [[nodiscard]] double last_heartbeat() const override;
    void finish() override;

    // --- leader.cpp ---
    awaitable<void> commit_loop(std::shared_ptr<LeaderTerm> term);
    awaitable<void> plan_loop(std::shared_ptr<LeaderTerm> term);
    awaitable<void> machine_list_loop(std::shared_ptr<LeaderTerm> term);
    awaitable<void> machine_types_loop(std::shared_ptr<LeaderTerm> term);
    awaitable<void> provisioning_loop(std::shared_ptr<LeaderTerm> term);
    awaitable<void> release_loop(std::shared_ptr<LeaderTerm> term);
    awaitable<void> format_loop(std::shared_ptr<LeaderTerm> term);
    [[nodiscard]] std::set<std::string> format_readers() const;
    [[nodiscard]] bool format_agreed() const;
    void apply_committed(LeaderTerm& term, const cluster::WriteBatch& batch, std::uint64_t revision);
    awaitable<void> wait_for_cloud_slot();
    void queue_stops(LeaderTerm& term);
    void send_queued(const std::shared_ptr<LeaderTerm>& term);
    awaitable<void> send_stops(std::shared_ptr<LeaderTerm> term, cluster::DirectCommands commands);
    void plan(LeaderTerm& term);
    awaitable<Reply> handle_heartbeat(std::string body);

    // --- users.cpp ---
    awaitable<Reply> submit(std::string body);
    // uncertain: it may have been accepted; conflict: the job is known.
    enum class Acceptance { accepted, conflict, too_large, uncertain };
    awaitable<Acceptance> accept(model::JobSpec spec);
    awaitable<Reply> poll(std::string id);
    awaitable<Reply> cancel(std::string id);
    Reply health() const;
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
        [[nodiscard]] leadership::PeerStoreContact contact() const {
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
    store::StoreClient store_;
    std::unique_ptr<net::Client> cloud_;
    std::vector<std::unique_ptr<net::Client>> peer_clients_;
    double started_at_;
    std::vector<PeerContact> peers_;
    store::WatchCache watch_cache_;
    std::mt19937_64 random_;
    leadership::LeaseGuard lease_guard_;
    leadership::LeadershipState leadership_;
    store::LinearizableRead linearizable_read_;
    store::WatchLoop watch_loop_;
    leadership::Election election_;
    std::shared_ptr<LeaderTerm> term_;
    double last_heartbeat_ = -1;    // a worker reported here
    bool asked_to_depend_ = false;  // by a user, here or at a peer
    double event_loop_lag_s_ = 0;
    double next_cloud_slot_ = 0;
    std::size_t submissions_ = 0, polls_ = 0;
};

// Runs a controller until the process is killed.
void run(const config::Settings& settings, const config::Tuning& tuning);

}  // namespace pineroad::controller
