// HTTP/1.1 client of one endpoint: a bounded pool of kept-alive connections and a bounded queue before it.
#pragma once

#include <memory>
#include <optional>

#include "config/settings.hpp"
#include "net/http.hpp"

namespace pineroad::net {

class HttpClient : public Client {
   public:
    HttpClient(asio::any_io_executor executor, config::Endpoint to, std::size_t body_max);
    ~HttpClient() override;

    awaitable<std::optional<Reply>> request(std::string method, std::string target, std::string body,
                                            double timeout_s) override;

   private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace pineroad::net
