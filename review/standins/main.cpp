// Stand-ins for the review scripts: leaves, callers and an operator, each on loopback addresses and plain sockets.
//
//   review_standins leaf OPTIONS    one leaf: announces itself, serves requests, leaves on SIGUSR1
//   review_standins load OPTIONS    callers: sends requests at a steady rate, one connection for each
//   review_standins call OPTIONS    one call of an operator: prints the status, 0 without an answer
//
// The names that belong to the platform are passed as options, see ../common.sh. Records are lines that begin with the
// wall-clock time in milliseconds.
#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t readBytes = 16384;
constexpr int listenBacklog = 512;

long long wallMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// The command line as pairs of "--NAME VALUE".
class Options {
public:
    Options(int count, char** words)
    {
        for (int i = 0; i + 1 < count; i += 2)
            m_values.emplace_back(words[i], words[i + 1]);
    }
    std::string text(const std::string& name, const std::string& fallback = "") const
    {
        for (const auto& [key, value] : m_values) {
            if (key == "--" + name)
                return value;
        }
        return fallback;
    }
    int number(const std::string& name, int fallback) const
    {
        auto value = text(name);
        return value.empty() ? fallback : std::atoi(value.c_str());
    }
    std::vector<std::string> list(const std::string& name) const
    {
        std::vector<std::string> items;
        std::istringstream stream(text(name));
        for (std::string item; std::getline(stream, item, ',');)
            items.push_back(item);
        return items;
    }

private:
    std::vector<std::pair<std::string, std::string>> m_values;
};

/// Appends lines to a file, each with the time. Thread safe.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path, std::ios::app)
    {
    }
    void add(const std::string& line)
    {
        std::lock_guard lock(m_mutex);
        m_file << wallMs() << " " << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// A socket that is closed with the object.
class Socket {
public:
    explicit Socket(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    ~Socket() { close(); }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    int get() const { return m_descriptor; }
    void close()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }

private:
    int m_descriptor;
};

sockaddr_in addressOf(const std::string& text)
{
    sockaddr_in address {};
    auto colon = text.rfind(':');
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.substr(colon + 1).c_str())));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

bool waitFor(int descriptor, short events, milliseconds timeout)
{
    pollfd it { descriptor, events, 0 };
    int n = 0;
    do
        n = ::poll(&it, 1, static_cast<int>(std::max<long long>(0, timeout.count())));
    while (n < 0 && errno == EINTR);
    return n > 0;
}

int openConnection(const std::string& address, milliseconds timeout)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto target = addressOf(address);
    int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    int result = ::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    if (result != 0 && errno == EINPROGRESS && waitFor(descriptor, POLLOUT, timeout)) {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        result = error == 0 ? 0 : -1;
    }
    if (result == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

bool sendAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        auto n = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0 && errno == EAGAIN && waitFor(descriptor, POLLOUT, std::chrono::seconds(2)))
            continue;
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

/// A message with a head and a body of known length.
struct Message {
    std::string firstLine;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(std::string name) const
    {
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    int status() const { return firstLine.size() > 9 ? std::atoi(firstLine.c_str() + 9) : 0; }
};

/// Reads messages from a connection; keeps the bytes that follow a message.
class MessageReader {
public:
    explicit MessageReader(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    std::optional<Message> next(milliseconds timeout)
    {
        auto end = SteadyClock::now() + timeout;
        std::size_t headEnd = 0;
        while ((headEnd = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(end))
                return std::nullopt;
        }
        auto message = headFrom(m_input.substr(0, headEnd));
        m_input.erase(0, headEnd + 4);
        auto length = static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
        while (m_input.size() < length) {
            if (!readMore(end))
                return std::nullopt;
        }
        message.body = m_input.substr(0, length);
        m_input.erase(0, length);
        return message;
    }

private:
    bool readMore(SteadyClock::time_point end)
    {
        auto left = std::chrono::duration_cast<milliseconds>(end - SteadyClock::now());
        if (!waitFor(m_descriptor, POLLIN, left))
            return false;
        char buf[readBytes];
        auto n = ::recv(m_descriptor, buf, sizeof buf, 0);
        if (n <= 0)
            return false;
        m_input.append(buf, static_cast<std::size_t>(n));
        return true;
    }
    static Message headFrom(const std::string& head)
    {
        Message message;
        std::istringstream lines(head);
        std::getline(lines, message.firstLine);
        for (std::string line; std::getline(lines, line);) {
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            auto begin = line.find_first_not_of(' ', colon + 1);
            auto value = begin == std::string::npos ? std::string() : line.substr(begin);
            while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
                value.pop_back();
            message.headers[name] = value;
        }
        return message;
    }

    int m_descriptor;
    std::string m_input;
};

std::optional<Message> exchange(const std::string& address, const std::string& request, milliseconds timeout)
{
    Socket socket(openConnection(address, timeout));
    if (socket.get() < 0 || !sendAll(socket.get(), request))
        return std::nullopt;
    return MessageReader(socket.get()).next(timeout);
}

std::string callText(
    const std::string& method, const std::string& path, const std::string& host, const std::string& body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------------------------------------------------------
// Leaf

std::atomic<bool> leaveRequested { false };

class Leaf {
public:
    explicit Leaf(const Options& options)
        : m_options(options)
        , m_record(options.text("record"))
        , m_id(options.text("id"))
        , m_control(options.list("control"))
        , m_slots(options.number("slots", 2))
        , m_queue(options.number("queue", 4))
        , m_workMs(options.number("work-ms", 10))
        , m_copyOneIn(options.number("copy-one-in", 0))
        , m_copyPeriodMs(options.number("copy-period-ms", 10000))
        , m_bornMs(wallMs())
    {
    }

    int run()
    {
        Socket listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        int one = 1;
        ::setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        auto address = addressOf(m_options.text("address"));
        if (::bind(listener.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
            || ::listen(listener.get(), listenBacklog) != 0)
            return 2;
        std::thread([this] { announceUntilLeft(); }).detach();
        while (true) {
            int descriptor = ::accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor >= 0)
                std::thread([this, descriptor] { serve(descriptor); }).detach();
        }
    }

private:
    // ---- announcements

    std::string announcement(const std::string& state)
    {
        std::ostringstream text;
        text << R"({"service":")" << m_options.text("service") << R"(","address":")" << m_options.text("address")
             << R"(","zone":")" << m_options.text("zone") << R"(","version":"v1","slots":)" << m_slots
             << R"(,"state":")" << state << R"(",")" << m_options.text("cold-field") << R"(":0,"seq":)" << ++m_sequence
             << R"(,"born":)" << m_bornMs << "}";
        return text.str();
    }

    /// Calls the control members in turn, beginning with `first`, until one confirms. Returns the time of the answer.
    std::optional<long long> callControl(
        const std::string& method, const std::string& state, std::size_t first, std::size_t tries)
    {
        for (std::size_t i = 0; i < tries; ++i) {
            const auto& address = m_control[(first + i) % m_control.size()];
            auto body = method == "PUT" ? announcement(state) : std::string();
            auto answer = exchange(
                address, callText(method, m_options.text("leaf-path") + m_id, address, body), std::chrono::seconds(1));
            int status = answer ? answer->status() : 0;
            if (method == "DELETE" || state == "draining")
                m_record.add("notice " + m_id + " " + (method == "DELETE" ? "gone" : state) + " to=" + address
                    + " status=" + std::to_string(status));
            if (status / 100 == 2)
                return wallMs();
        }
        return std::nullopt;
    }

    /// The control member to call first: a random one, as every caller of the control members picks among them.
    std::size_t pickMember() { return m_random() % m_control.size(); }

    void announceUntilLeft()
    {
        auto interval = milliseconds(m_options.number("beat-ms", 1200));
        while (!leaveRequested) {
            callControl("PUT", "ready", pickMember(), m_control.size());
            for (auto end = SteadyClock::now() + interval; SteadyClock::now() < end && !leaveRequested;)
                std::this_thread::sleep_for(milliseconds(10));
        }
        leave();
    }

    /// Leaves as a leaf of the platform does: reports that it drains, or that it is gone at once, serves for the drain
    /// time and `linger-ms` more, and exits.
    void leave()
    {
        bool deletesFirst = m_options.text("leave") == "delete";
        std::optional<long long> confirmed;
        for (int i = 0; i < 5 && !confirmed; ++i)
            confirmed = callControl(deletesFirst ? "DELETE" : "PUT", "draining", pickMember(), m_control.size());
        if (confirmed)
            m_record.add("left " + m_id);
        std::this_thread::sleep_for(milliseconds(m_options.number("drain-ms", 3000)));
        std::this_thread::sleep_for(milliseconds(m_options.number("linger-ms", 3000)));
        if (!deletesFirst)
            callControl("DELETE", "draining", pickMember(), m_control.size());
        std::_Exit(0);
    }

    // ---- requests

    bool enter()
    {
        std::unique_lock lock(m_mutex);
        if (m_waiting + m_running >= m_slots + m_queue)
            return false;
        ++m_waiting;
        m_changed.wait(lock, [&] { return m_running < m_slots; });
        --m_waiting;
        ++m_running;
        return true;
    }
    void exitSlot()
    {
        std::lock_guard lock(m_mutex);
        --m_running;
        m_changed.notify_one();
    }
    void work()
    {
        thread_local std::mt19937 random(std::random_device {}());
        std::uniform_real_distribution<> share(0.4, 1.6);
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(m_workMs * share(random)));
    }

    std::string answerText(int status, const std::string& id, const std::string& more, const std::string& body) const
    {
        return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + m_options.text("id-header") + ": " + id + "\r\n"
            + more + "Keep-Alive: timeout=20\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// Whether a second copy of a refusal is sent: in the first half of each `copy-period-ms`, and never of more than
    /// one in `copy-one-in` answers of this leaf.
    bool takesCopy(bool isRefusal)
    {
        std::lock_guard lock(m_mutex);
        ++m_answersSinceCopy;
        bool isInWindow = (wallMs() - m_bornMs) % m_copyPeriodMs < m_copyPeriodMs / 2;
        if (m_copyOneIn == 0 || !isInWindow || !isRefusal || m_answersSinceCopy < m_copyOneIn)
            return false;
        m_answersSinceCopy = 0;
        return true;
    }

    std::string handle(const Message& request, bool& isRefusal)
    {
        auto id = request.header(m_options.text("id-header"));
        auto line = request.firstLine.substr(0, request.firstLine.rfind(' '));
        auto notRun = m_options.text("refused-header") + ": 1\r\n";
        isRefusal = false;
        if (line.starts_with("GET /health"))
            return answerText(200, id, "Instance-Id: " + m_id + "\r\n", "");
        auto expected = request.header(m_options.text("leaf-header"));
        if (!expected.empty() && expected != m_id)
            return answerText(421, id, notRun, "");
        m_record.add("arrived " + m_id + " " + id + " " + line);
        if (!enter()) {
            isRefusal = true;
            m_record.add("refused " + m_id + " " + id);
            return answerText(503, id, notRun, "");
        }
        m_record.add("run " + m_id + " " + id + " " + line);
        work();
        exitSlot();
        return answerText(
            200, id, m_options.text("signature-header") + ": s." + m_id + "." + id + "\r\n", "done " + id);
    }

    void serve(int descriptor)
    {
        Socket socket(descriptor);
        int one = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        MessageReader reader(descriptor);
        std::string copy; // of the previous answer, sent where the next one is expected
        while (auto request = reader.next(std::chrono::seconds(20))) {
            if (!copy.empty()) {
                m_record.add("copy " + m_id + " before " + request->header(m_options.text("id-header")));
                sendAll(descriptor, copy);
            }
            bool isRefusal = false;
            auto answer = handle(*request, isRefusal);
            copy = takesCopy(isRefusal) ? answer : std::string();
            if (!sendAll(descriptor, answer))
                return;
        }
    }

    const Options& m_options;
    Record m_record;
    std::string m_id;
    std::vector<std::string> m_control;
    int m_slots;
    int m_queue;
    int m_workMs;
    int m_copyOneIn;
    int m_copyPeriodMs;
    long long m_bornMs;
    std::mt19937 m_random { std::random_device {}() }; // used by the announcing thread only
    std::uint64_t m_sequence = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_waiting = 0;
    int m_running = 0;
    int m_answersSinceCopy = 0;
};

// ---------------------------------------------------------------------------------------------------------------
// Callers

/// Sends requests, or batches of them, at a steady rate to the entry instances in turn, and records the answers.
class Load {
public:
    explicit Load(const Options& options)
        : m_options(options)
        , m_record(options.text("record"))
    {
    }

    int run()
    {
        auto entries = m_options.list("entries");
        int perSecond = m_options.number("rate", 20);
        auto end = SteadyClock::now() + milliseconds(m_options.number("for-ms", 10000));
        auto next = SteadyClock::now();
        std::mt19937 random(static_cast<unsigned>(m_options.number("seed", 1)));
        std::exponential_distribution<> gap(perSecond);
        int batch = m_options.number("batch", 1);
        for (int i = 0; next < end; ++i) {
            std::this_thread::sleep_until(next);
            if (i % batch == batch - 1)
                next += std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(gap(random)));
            ++m_open;
            std::thread([this, i, entry = entries[static_cast<std::size_t>(i) % entries.size()]] {
                sendOne(i, entry);
                --m_open;
            }).detach();
        }
        auto limit = SteadyClock::now() + milliseconds(m_options.number("deadline-ms", 1000) + 2000);
        while (m_open > 0 && SteadyClock::now() < limit)
            std::this_thread::sleep_for(milliseconds(10));
        return 0;
    }

private:
    void sendOne(int number, const std::string& entry)
    {
        auto id = m_options.text("name", "q") + "-" + std::to_string(number);
        int deadline = m_options.number("deadline-ms", 1000);
        auto method = m_options.text("method", "GET");
        std::string text = method + " " + m_options.text("path") + std::to_string(number)
            + " HTTP/1.1\r\nHost: " + m_options.text("host") + "\r\n" + m_options.text("id-header") + ": " + id
            + "\r\nDeadline-Ms: " + std::to_string(deadline) + "\r\nConnection: close\r\n";
        if (method == "POST")
            text += "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
        else
            text += "\r\n";
        m_record.add("sent " + id + " to=" + entry);
        auto answer = exchange(entry, text, milliseconds(deadline + 500));
        m_record.add("answered " + id + " status=" + std::to_string(answer ? answer->status() : 0)
            + " signature=" + (answer ? answer->header(m_options.text("signature-header")) : "")
            + " body=" + (answer ? answer->body.substr(0, 60) : ""));
    }

    const Options& m_options;
    Record m_record;
    std::atomic<int> m_open { 0 };
};

int call(const Options& options)
{
    auto address = options.text("to");
    std::string body;
    if (auto path = options.text("body-file"); !path.empty()) {
        std::ifstream file(path);
        body.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    auto answer = exchange(address, callText(options.text("method", "GET"), options.text("path"), address, body),
        milliseconds(options.number("timeout-ms", 1000)));
    std::cout << (answer ? answer->status() : 0) << std::endl;
    return 0;
}

} // namespace

int main(int count, char** words)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGUSR1, [](int) { leaveRequested = true; });
    const std::string command = count > 1 ? words[1] : "";
    const Options options(count - 2, words + 2);
    if (command == "leaf")
        return Leaf(options).run();
    if (command == "load")
        return Load(options).run();
    if (command == "call")
        return call(options);
    std::cerr << "usage: review_standins leaf|load|call OPTIONS" << std::endl;
    return 2;
}
