// Plain requests and replies, so that the rest of the code needs no HTTP library.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>

namespace pineroad::net {

namespace asio = boost::asio;
using asio::awaitable;

struct Request {
    std::string method, target, body;
};

struct Reply {
    int status = 0;
    std::string body;
    int retry_after_s = 0;  // 0: no header
    bool close = false;
};

inline std::chrono::steady_clock::duration seconds(double s) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(s));
}

awaitable<void> sleep_for(double s);

}  // namespace pineroad::net
