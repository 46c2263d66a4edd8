// HTTP/1.1 client of one endpoint: a bounded pool of kept-alive connections and a bounded queue before it.
#pragma once

#include <memory>
#include <optional>

#include "config/settings.hpp"
#include "net/http.hpp"

namespace pineroad::net {

class HttpClient {
   public:
    HttpClient(asio::any_io_executor executor, config::Endpoint to);
    ~HttpClient();
    HttpClient(HttpClient&&) noexcept;
    HttpClient& operator=(HttpClient&&) noexcept;

    // The answer, or nothing: then the request may or may not have been executed, and may yet be.
    awaitable<std::optional<Reply>> request(std::string method, std::string target, std::string body,
                                            double timeout_s);

   private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace pineroad::net
