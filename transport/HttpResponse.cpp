#include "transport/HttpServer.h"
#include "transport/ResponderState.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace citronplank {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
        [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view HttpRequest::header(std::string_view name) const
{
    const auto it = std::find_if(
        headers.begin(), headers.end(), [&](const auto& header) { return equalsIgnoringCase(header.first, name); });
    return it == headers.end() ? std::string_view() : std::string_view(it->second);
}

HttpResponse errorResponse(ErrorKind kind, std::string_view message)
{
    const ErrorAnswer& row = errorAnswer(kind);
    const nlohmann::json body { { "error", row.name }, { "message", message }, { "retry", retryAdviceName(row.retry) },
        { "outcome", outcomeName(row.outcome) } };
    // Messages may contain bytes from the caller that are not valid UTF-8.
    return { row.httpStatus, "application/json", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

bool Responder::answer(HttpResponse answer) const { return m_state->answer(std::move(answer)); }

bool Responder::fail(ErrorKind kind, std::string_view message) const { return answer(errorResponse(kind, message)); }

void Responder::onCallerDisconnected(std::function<void()> callback) const
{
    m_state->setOnDisconnected(std::move(callback));
}

bool Responder::isCallerDisconnected() const { return m_state->isDisconnected(); }

void Responder::checkCaller(std::function<void(bool)> done) const { m_state->checkCaller(std::move(done)); }

} // namespace citronplank
