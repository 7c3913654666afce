// HTTP control endpoint of the stand-in leaves: injects faults and changes settings at run time.
#pragma once

#include "standins/leaf/Leaf.h"

#include <memory>

namespace standins {

/// GET /leaves lists all leaves. POST /control applies a JSON command to the leaves that match all of its filters
/// (`leaf`, `service`, `zone`) and returns {"matched":N}, or status 400 and {"error":TEXT} if the command is invalid:
///   {"do":"crash"|"fall_over"|"cold"|"drain"|"stop"|"boot"|"silence", "exit_ms":5000 (drain)}
///   {"set":{"straggle_rate":0.01, "straggle_ms":200, "shed_rate":0, "fail_rate":0, "announces":true,
///           "health_is_true":false, "restart_ms":1000, "hang_ms":500, "cold_shed_ms":1000,
///           "crash_marker":"crash-back-end", "time":"fixed:8"}}
///   {"repartition":{"version":2, "shards":25, "keep_ms":5000, "stagger_ms":20}}
/// "boot" stops a leaf that runs before it boots it. With `stagger_ms`, each matching leaf repartitions that much later
/// than the one before. An invalid command may have been applied in part.
class LeafControl {
public:
    /// Listens at `address` ("IP:PORT") immediately; `leaves` must outlive the object. Throws std::invalid_argument on
    /// a malformed address and asio::system_error if it is in use.
    LeafControl(asio::io_context& io, const std::string& address, std::vector<std::unique_ptr<Leaf>>& leaves);

private:
    void handle(const HttpMessage& request, const std::shared_ptr<HttpSession>& session);
    std::size_t applyCommand(const std::string& body);

    asio::io_context& m_io;
    std::vector<std::unique_ptr<Leaf>>& m_leaves;
    HttpServer m_server;
};

} // namespace standins
