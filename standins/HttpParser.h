// HTTP/1.1 message parser of the stand-ins, based on http_parser. Not thread safe.
#pragma once

#include <cctype>
#include <cstdint>
#include <http_parser.h>
#include <map>
#include <string>

namespace standins {

struct HttpMessage {
    std::string method;                         // requests only
    std::string target;                         // requests only
    int status = 0;                             // responses only
    std::map<std::string, std::string> headers; // names in lower case; of a repeated header, the last value
    std::string body;
    bool isKeepAlive = false; // the sender keeps the connection open after this message

    /// Returns the value of a header (name in lower case), or an empty string if it is absent.
    std::string header(const std::string& name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
    /// Returns the value of a header (name in lower case) as a decimal number, or `fallback` if the header is absent or
    /// not a number.
    std::uint64_t numericHeader(const std::string& name, std::uint64_t fallback = 0) const
    {
        const auto text = header(name);
        char* end = nullptr;
        const auto value = std::strtoull(text.c_str(), &end, 10);
        return text.empty() || *end ? fallback : value;
    }
};

/// Parses the messages of a byte stream, one at a time: call `feed` until `isComplete`, then `takeMessage`.
class HttpParser {
public:
    explicit HttpParser(http_parser_type type)
        : m_type(type)
    {
        m_settings.on_url = [](http_parser* parser, const char* data, std::size_t size) {
            self(parser).m_message.target.append(data, size);
            return 0;
        };
        m_settings.on_header_field = [](http_parser* parser, const char* data, std::size_t size) {
            auto& it = self(parser);
            it.storeHeader(false);
            for (std::size_t i = 0; i < size; ++i)
                it.m_name += static_cast<char>(std::tolower(static_cast<unsigned char>(data[i])));
            return 0;
        };
        m_settings.on_header_value = [](http_parser* parser, const char* data, std::size_t size) {
            self(parser).m_value.append(data, size);
            self(parser).m_hasValue = true;
            return 0;
        };
        m_settings.on_headers_complete = [](http_parser* parser) {
            self(parser).storeHeader(true);
            return 0;
        };
        m_settings.on_body = [](http_parser* parser, const char* data, std::size_t size) {
            self(parser).m_message.body.append(data, size);
            return 0;
        };
        m_settings.on_message_complete = [](http_parser* parser) {
            self(parser).m_isComplete = true;
            // Stops parsing here, so that the bytes of the next message stay in the input.
            http_parser_pause(parser, 1);
            return 0;
        };
        restart();
    }
    HttpParser(const HttpParser&) = delete;
    HttpParser& operator=(const HttpParser&) = delete;

    /// Removes the parsed bytes from the front of `input`: stops at the end of a message, so that the bytes of the next
    /// one stay. Has no effect once `isComplete` or `hasFailed`.
    void feed(std::string& input)
    {
        if (m_isComplete || m_hasFailed || input.empty())
            return;
        const auto used = http_parser_execute(&m_parser, &m_settings, input.data(), input.size());
        const auto error = HTTP_PARSER_ERRNO(&m_parser);
        m_hasFailed = error != HPE_OK && error != HPE_PAUSED;
        input.erase(0, used);
    }

    bool isComplete() const { return m_isComplete; }
    /// True after malformed input, until `restart`.
    bool hasFailed() const { return m_hasFailed; }

    /// Returns the complete message and resets the parser for the next one. Precondition: `isComplete()`.
    HttpMessage takeMessage()
    {
        m_message.isKeepAlive = http_should_keep_alive(&m_parser) != 0;
        if (m_type == HTTP_REQUEST)
            m_message.method = http_method_str(static_cast<http_method>(m_parser.method));
        else
            m_message.status = static_cast<int>(m_parser.status_code);
        auto message = std::move(m_message);
        restart();
        return message;
    }

    /// Discards a partly parsed message and clears a failure.
    void restart()
    {
        http_parser_init(&m_parser, m_type);
        m_parser.data = this;
        m_message = {};
        m_name.clear();
        m_value.clear();
        m_hasValue = m_isComplete = m_hasFailed = false;
    }

private:
    static HttpParser& self(http_parser* parser) { return *static_cast<HttpParser*>(parser->data); }

    /// Stores the header before the current position, if it has its value. Called at each piece of a header name,
    /// because http_parser may pass names and values in several pieces, and with `isLast` at the end of the headers.
    void storeHeader(bool isLast)
    {
        if (!m_hasValue && !isLast)
            return;
        if (!m_name.empty())
            m_message.headers[m_name] = m_value;
        m_name.clear();
        m_value.clear();
        m_hasValue = false;
    }

    http_parser_type m_type;
    http_parser m_parser {};
    http_parser_settings m_settings {};
    HttpMessage m_message;
    std::string m_name;      // of the header that is being parsed
    std::string m_value;     // of that header
    bool m_hasValue = false; // at least one piece of the value has been parsed
    bool m_isComplete = false;
    bool m_hasFailed = false;
};

} // namespace standins
