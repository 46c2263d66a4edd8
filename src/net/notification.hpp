// Wakes coroutines that wait for a change. Single-threaded, without locks.
#pragma once

#include <boost/asio/this_coro.hpp>
#include <list>

#include "net/clock.hpp"

namespace pineroad::net {

// A condition variable for coroutines. It must outlive the coroutines that wait for it.
class Notification {
   public:
    // Suspends the calling coroutine until the next notify(), or for at most `timeout_s` seconds.
    awaitable<void> wait(double timeout_s) {
        Timer timer(co_await asio::this_coro::executor, seconds(timeout_s));
        const auto position = waiting_.insert(waiting_.end(), &timer);
        co_await timer.async_wait(use_nothrow_awaitable);
        waiting_.erase(position);
    }
    // Wakes all coroutines that are waiting now; later wait() calls are not affected.
    void notify() {
        for (auto* timer : waiting_) timer->cancel();
    }

   private:
    std::list<Timer*> waiting_;
};

}  // namespace pineroad::net
