// Wakes coroutines that wait for something to change. One thread, no locks.
#pragma once

#include <boost/asio/this_coro.hpp>
#include <list>

#include "net/clock.hpp"

namespace pineroad::net {

// A condition variable for coroutines. It must outlive those that wait for it.
class Notification {
   public:
    // Suspends the coroutine until the next notify(), or for at most so many seconds.
    awaitable<void> wait(double timeout_s) {
        Timer timer(co_await asio::this_coro::executor, seconds(timeout_s));
        const auto position = waiting_.insert(waiting_.end(), &timer);
        co_await timer.async_wait(use_nothrow_awaitable);
        waiting_.erase(position);
    }
    // Wakes all that wait now; whoever waits later is not woken.
    void notify() {
        for (auto* timer : waiting_) timer->cancel();
    }

   private:
    std::list<Timer*> waiting_;
};

}  // namespace pineroad::net
