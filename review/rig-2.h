// Stand-ins and helpers for the scripts review/6 to review/10: the platform's store, servers, clients, and the processes under test.
// Everything listens on 127.0.0.1 with ports that the kernel chooses.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline auto startedAt() -> Clock::time_point
{
    static const auto Start = Clock::now();
    return Start;
}
inline auto nowMs() -> double
{
    return std::chrono::duration<double, std::milli>(Clock::now() - startedAt()).count();
}
inline auto sleepMs(double ms) -> void
{
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
    }
}
inline auto wallMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// The record of what was sent, answered and run: one line per event, with the time in ms since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }
    __attribute__((format(printf, 2, 3))) auto line(const char *format, ...) -> void
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        char head[32];
        std::snprintf(head, sizeof head, "%10.1f  ", nowMs());
        m_file << head << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// ---- sockets and HTTP

using Headers = std::vector<std::pair<std::string, std::string>>;

inline auto headerOf(const Headers &headers, const std::string &name) -> std::optional<std::string>
{
    for (const auto &[key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return std::nullopt;
}

struct Message {
    std::string start; ///< request line or status line
    Headers headers;
    std::string body;

    auto method() const -> std::string
    {
        return start.substr(0, start.find(' '));
    }
    auto target() const -> std::string
    {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    auto path() const -> std::string
    {
        const auto whole = target();
        return whole.substr(0, whole.find('?'));
    }
    auto status() const -> int
    {
        return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
    }
    auto header(const std::string &name) const -> std::string
    {
        return headerOf(headers, name).value_or("");
    }
    auto query(const std::string &name) const -> std::string
    {
        const auto whole = target();
        const auto mark = whole.find('?');
        std::string rest = mark == std::string::npos ? "" : "&" + whole.substr(mark + 1) + "&";
        const auto at = rest.find("&" + name + "=");
        if (at == std::string::npos) {
            return "";
        }
        const auto from = at + name.size() + 2;
        const auto coded = rest.substr(from, rest.find('&', from) - from);
        std::string text;
        for (std::size_t i = 0; i < coded.size(); ++i) {
            if (coded[i] == '%' && i + 2 < coded.size()) {
                text += static_cast<char>(std::strtol(coded.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                text += coded[i] == '+' ? ' ' : coded[i];
            }
        }
        return text;
    }
};

/// A connected socket with a read buffer.
class Conn
{
public:
    explicit Conn(int descriptor)
        : m_fd(descriptor)
    {
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Conn()
    {
        close();
    }
    Conn(const Conn &) = delete;
    auto operator=(const Conn &) -> Conn & = delete;

    static auto connect(int port) -> std::shared_ptr<Conn>
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_shared<Conn>(descriptor);
    }
    auto fd() const -> int
    {
        return m_fd;
    }
    auto number() const -> int ///< unlike a descriptor, it isn't used again
    {
        return m_number;
    }
    auto close() -> void
    {
        if (m_fd >= 0) {
            ::shutdown(m_fd, SHUT_RDWR);
            ::close(m_fd);
            m_fd = -1;
        }
    }
    auto send(const std::string &bytes) -> bool
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const auto n = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// Whether the peer has closed; doesn't consume bytes.
    auto isClosedByPeer() const -> bool
    {
        pollfd state {m_fd, POLLRDHUP, 0};
        return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    /// Reads more bytes; false at the end, an error or the time limit.
    auto more(double untilMs) -> bool
    {
        while (true) {
            pollfd state {m_fd, POLLIN, 0};
            const double left = untilMs - nowMs();
            if (left <= 0) {
                return false;
            }
            const int ready = ::poll(&state, 1, static_cast<int>(left) + 1);
            if (ready < 0 && errno == EINTR) {
                continue;
            }
            if (ready <= 0) {
                return false;
            }
            char buffer[65536];
            const auto n = ::recv(m_fd, buffer, sizeof buffer, 0);
            if (n <= 0) {
                return false;
            }
            m_buffer.append(buffer, static_cast<std::size_t>(n));
            return true;
        }
    }
    auto readHead(Message &message, double untilMs) -> bool
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(untilMs)) {
                return false;
            }
        }
        std::istringstream lines(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        message = Message();
        std::getline(lines, message.start);
        if (!message.start.empty() && message.start.back() == '\r') {
            message.start.pop_back();
        }
        for (std::string text; std::getline(lines, text);) {
            if (!text.empty() && text.back() == '\r') {
                text.pop_back();
            }
            const auto colon = text.find(':');
            if (colon != std::string::npos) {
                const auto from = text.find_first_not_of(' ', colon + 1);
                message.headers.emplace_back(text.substr(0, colon), from == std::string::npos ? "" : text.substr(from));
            }
        }
        return true;
    }
    auto take(std::size_t bytes, std::string &into, double untilMs) -> bool
    {
        while (m_buffer.size() < bytes) {
            if (!more(untilMs)) {
                return false;
            }
        }
        into.append(m_buffer, 0, bytes);
        m_buffer.erase(0, bytes);
        return true;
    }
    /// Reads the body by its framing. False if it is cut off.
    auto readBody(Message &message, bool isAnswer, double untilMs) -> bool
    {
        if (const auto length = headerOf(message.headers, "content-length")) {
            return take(std::strtoull(length->c_str(), nullptr, 10), message.body, untilMs);
        }
        if (message.header("transfer-encoding") == "chunked") {
            while (true) {
                std::size_t end = 0;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!more(untilMs)) {
                        return false;
                    }
                }
                const auto size = std::strtoull(m_buffer.c_str(), nullptr, 16);
                m_buffer.erase(0, end + 2);
                std::string tail;
                if (!take(size, message.body, untilMs) || !take(2, tail, untilMs)) {
                    return false;
                }
                if (size == 0) {
                    return true;
                }
            }
        }
        if (isAnswer) {
            while (more(untilMs)) {
            }
            message.body = std::exchange(m_buffer, "");
        }
        return true;
    }
    auto read(Message &message, bool isAnswer, double untilMs) -> bool
    {
        return readHead(message, untilMs) && readBody(message, isAnswer, untilMs);
    }

private:
    static auto nextNumber() -> int
    {
        static std::atomic<int> last = 0;
        return ++last;
    }
    int m_fd = -1;
    int m_number = nextNumber();
    std::string m_buffer;
};

inline auto answer(int status, const Headers &headers, const std::string &body) -> std::string
{
    static const std::map<int, const char *> Names {{200, "OK"}, {202, "Accepted"}, {400, "Bad Request"}, {404, "Not Found"}, {409, "Conflict"},
                                                    {410, "Gone"}, {412, "Precondition Failed"}, {421, "Misdirected Request"}, {503, "Service Unavailable"}};
    const auto name = Names.find(status);
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + (name == Names.end() ? "Status" : name->second) + "\r\n";
    for (const auto &[key, value] : headers) {
        text += key + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server with a thread per connection. The handler returns false to end the connection.
class Server
{
public:
    using Handler = std::function<bool(Conn &conn, Message &request)>;
    explicit Server(Handler handler, int port = 0)
        : m_handler(std::move(handler))
    {
        listen(port);
    }
    ~Server()
    {
        stop();
    }
    auto port() const -> int
    {
        return m_port;
    }
    /// Stops listening and resets all connections, as the end of the process does.
    auto stop() -> void
    {
        if (m_listener >= 0) {
            ::shutdown(m_listener, SHUT_RDWR);
            m_accepting.join();
            ::close(m_listener);
            m_listener = -1;
        }
        const std::lock_guard lock(m_mutex);
        for (const auto &weak : m_open) {
            if (const auto conn = weak.lock()) {
                const linger now {1, 0};
                setsockopt(conn->fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
                ::shutdown(conn->fd(), SHUT_RDWR);
            }
        }
        m_open.clear();
    }
    auto restart() -> void
    {
        listen(m_port);
    }

private:
    auto listen(int port) -> void
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        if (bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(m_listener, 1024) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_accepting = std::thread([this] { accept(); });
    }
    auto accept() -> void
    {
        while (true) {
            const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                if (errno == EINTR || errno == ECONNABORTED) {
                    continue;
                }
                return;
            }
            auto conn = std::make_shared<Conn>(descriptor);
            {
                const std::lock_guard lock(m_mutex);
                std::erase_if(m_open, [](const auto &weak) { return weak.expired(); });
                m_open.push_back(conn);
            }
            std::thread([this, conn] {
                Message request;
                while (conn->read(request, false, nowMs() + 600000) && m_handler(*conn, request)) {
                }
                conn->close();
            }).detach();
        }
    }
    Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::thread m_accepting;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Conn>> m_open;
};

// ---- the platform's store

inline auto toBase64(const std::string &text) -> std::string
{
    static const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned v = 0;
        const auto n = std::min<std::size_t>(3, text.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            v = v << 8U | (k < n ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += k <= n ? Digits[v >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

/// The platform's store: /rows-get, /rows-feed and /rows-tx as the pages describe them. Values are kept in base64.
class Store
{
public:
    Store()
        : m_server([this](Conn &conn, Message &request) { return handle(conn, request); })
    {
    }
    auto port() const -> int
    {
        return m_server.port();
    }
    /// A write of the operator or of a server.
    auto put(const std::string &table, const std::string &key, const std::string &value) -> void
    {
        const std::lock_guard lock(m_mutex);
        ++m_version;
        m_tables[table][key] = {toBase64(value), m_version};
        m_changes.push_back({table, key, m_version});
        m_changed.notify_all();
    }
    auto remove(const std::string &table, const std::string &key) -> void
    {
        const std::lock_guard lock(m_mutex);
        if (m_tables[table].erase(key) > 0) {
            m_changes.push_back({table, key, ++m_version});
            m_changed.notify_all();
        }
    }

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Change {
        std::string table;
        std::string key;
        std::uint64_t version = 0;
    };
    auto reply(Conn &conn, int status, Json body) -> bool
    {
        body["ver"] = m_version;
        body["now_ms"] = static_cast<std::uint64_t>(nowMs());
        return conn.send(answer(status, {{"Content-Type", "application/json"}}, body.dump()));
    }
    auto rowJson(const std::string &table, const std::string &key, const Row &row) const -> Json
    {
        return {{"table", table}, {"part", ""}, {"key", key}, {"value", row.value}, {"ver", row.version}};
    }
    auto changesAfter(const std::string &table, std::uint64_t after) -> Json
    {
        Json rows = Json::array();
        std::map<std::string, std::uint64_t> last;
        for (const auto &change : m_changes) {
            if (change.table == table && change.version > after) {
                last[change.key] = change.version;
            }
        }
        std::vector<std::pair<std::uint64_t, std::string>> inOrder;
        for (const auto &[key, version] : last) {
            inOrder.emplace_back(version, key);
        }
        std::sort(inOrder.begin(), inOrder.end());
        for (const auto &[version, key] : inOrder) {
            const auto found = m_tables[table].find(key);
            if (found == m_tables[table].end()) {
                rows.push_back({{"table", table}, {"part", ""}, {"key", key}, {"ver", version}, {"tombstone", true}});
            } else {
                rows.push_back(rowJson(table, key, found->second));
            }
        }
        return rows;
    }
    auto handle(Conn &conn, Message &request) -> bool
    {
        sleepMs(4);
        std::unique_lock lock(m_mutex);
        const auto table = request.query("table");
        if (request.path() == "/rows-get") {
            const auto from = request.query("from");
            const auto to = request.query("to");
            Json rows = Json::array();
            bool hasMore = false;
            for (auto row = m_tables[table].lower_bound(from); row != m_tables[table].end(); ++row) {
                if (!to.empty() && row->first >= to) {
                    break;
                }
                if (rows.size() == 500) {
                    hasMore = true;
                    break;
                }
                rows.push_back(rowJson(table, row->first, row->second));
            }
            return reply(conn, 200, {{"rows", rows}, {"has_more", hasMore}});
        }
        if (request.path() == "/rows-feed") {
            const auto after = std::strtoull(request.query("after").c_str(), nullptr, 10);
            const auto wait = std::min(std::strtol(request.query("wait_ms").c_str(), nullptr, 10), 30000L);
            m_changed.wait_for(lock, std::chrono::milliseconds(wait), [&] { return !changesAfter(table, after).empty(); });
            return reply(conn, 200, {{"rows", changesAfter(table, after)}});
        }
        if (request.path() == "/rows-tx") {
            const auto body = Json::parse(request.body, nullptr, false);
            if (body.is_discarded()) {
                return conn.send(answer(400, {}, ""));
            }
            for (const auto &wanted : body.value("expected_revision", Json::array())) {
                const auto &rows = m_tables[wanted["table"]];
                const auto found = rows.find(wanted["key"]);
                if ((found == rows.end() ? 0 : found->second.version) != wanted["ver"].get<std::uint64_t>()) {
                    return reply(conn, 412, {{"rows", Json::array()}});
                }
            }
            ++m_version;
            for (const auto &write : body.value("writes", Json::array())) {
                m_tables[write["table"]][write["key"]] = {write["value"], m_version};
                m_changes.push_back({write["table"], write["key"], m_version});
            }
            for (const auto &gone : body.value("remove", Json::array())) {
                m_tables[gone["table"]].erase(gone["key"].get<std::string>());
                m_changes.push_back({gone["table"], gone["key"], m_version});
            }
            m_changed.notify_all();
            return reply(conn, 200, Json::object());
        }
        return conn.send(answer(404, {}, ""));
    }
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_version = 100;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::vector<Change> m_changes;
    Server m_server; // last: its threads use the rest
};

// ---- the processes under test

inline auto freePort() -> int
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    const int port = ntohs(address.sin_port);
    ::close(descriptor);
    return port;
}

/// Fills in a template as DEPLOY.md describes, as far as deploy/settings.ini needs it: {{name}} and {{#name}} .. {{/name}}.
inline auto fillTemplate(std::string text, const std::map<std::string, std::string> &values) -> std::string
{
    const auto valueOf = [&](const std::string &name) {
        const auto found = values.find(name);
        return found == values.end() ? std::string() : found->second;
    };
    for (std::size_t at = 0; (at = text.find("{{#", at)) != std::string::npos;) {
        const auto end = text.find("}}", at);
        const auto name = text.substr(at + 3, end - at - 3);
        const auto close = "{{/" + name + "}}";
        const auto last = text.find(close, end);
        const auto value = valueOf(name);
        std::string inner = value.empty() || value == "false" ? "" : text.substr(end + 2, last - end - 2);
        for (std::size_t dot = 0; (dot = inner.find("{{.}}", dot)) != std::string::npos;) {
            inner.replace(dot, 5, value);
        }
        text.replace(at, last + close.size() - at, inner);
    }
    for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
        const auto end = text.find("}}", at);
        text.replace(at, end + 2 - at, valueOf(text.substr(at + 2, end - at - 2)));
    }
    return text;
}

/// One machine of class frontend with the role of deploy/system.toml.
class Gateway
{
public:
    int callers = freePort();
    int ready = freePort();
    int peers = freePort();
    int metrics = freePort();

    /// `root`: the repository. `folder`: for the settings file and the process's output.
    Gateway(std::string root, std::string folder, std::string name, std::string zone, int storePort, std::map<std::string, std::string> bounds)
        : m_root(std::move(root))
        , m_folder(std::move(folder))
        , m_name(std::move(name))
    {
        auto values = std::move(bounds);
        const std::string host = "127.0.0.1";
        values["node_name"] = m_name;
        values["zone"] = std::move(zone);
        values["ip"] = host;
        values["listen.front"] = host + ":" + std::to_string(callers);
        values["listen.ready"] = host + ":" + std::to_string(ready);
        values["internal_ports.0"] = std::to_string(peers);
        values["internal_ports.1"] = std::to_string(metrics);
        values["platform.address"] = host + ":" + std::to_string(storePort);
        std::ifstream file(m_root + "/deploy/settings.ini");
        std::ostringstream text;
        text << file.rdbuf();
        std::ofstream(settings()) << fillTemplate(text.str(), values);
    }
    ~Gateway()
    {
        stop();
    }
    Gateway(const Gateway &) = delete;
    auto operator=(const Gateway &) -> Gateway & = delete;

    auto settings() const -> std::string
    {
        return m_folder + "/" + m_name + ".ini";
    }
    auto log() const -> std::string
    {
        return m_folder + "/" + m_name + ".log";
    }
    auto name() const -> const std::string &
    {
        return m_name;
    }
    auto pid() const -> pid_t
    {
        return m_pid;
    }
    auto start() -> void
    {
        const std::lock_guard lock(s_mutex);
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (chdir(m_root.c_str()) != 0) {
                _exit(126);
            }
            const int out = open(log().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            // The words of `run` in deploy/system.toml.
            const char *program = "target/bin/kingcupd";
            const std::string boot = "KINGCUPWORKS_BOOT=" + settings();
            const char *const arguments[] = {program, "--settings-from", "KINGCUPWORKS_BOOT", nullptr};
            const char *const environment[] = {"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", boot.c_str(), nullptr};
            execve(program, const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
            _exit(127);
        }
        s_running.insert(m_pid);
    }
    /// Ends the processes of all gateways.
    static auto endAll() -> void
    {
        const std::lock_guard lock(s_mutex);
        for (const pid_t pid : s_running) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        s_running.clear();
    }
    auto signal(int number) const -> void
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    auto stop() -> void
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            forget();
        }
    }
    /// The exit status if the process has ended by itself.
    auto ended() -> std::optional<int>
    {
        int status = 0;
        if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
            forget();
            return status;
        }
        return std::nullopt;
    }
    auto isReady() const -> bool
    {
        const auto conn = Conn::connect(ready);
        Message reply;
        return conn && conn->send("GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n") && conn->read(reply, true, nowMs() + 1000) && reply.status() == 200;
    }
    /// Resident memory in MB (10^6 bytes), now and at most so far.
    auto memory() const -> std::pair<double, double>
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        double now = 0;
        double most = 0;
        for (std::string line; std::getline(file, line);) {
            constexpr double KiB = 1024.0 / 1e6;
            if (line.starts_with("VmRSS:")) {
                now = std::atof(line.c_str() + 6) * KiB;
            } else if (line.starts_with("VmHWM:")) {
                most = std::atof(line.c_str() + 6) * KiB;
            }
        }
        return {now, most};
    }

private:
    auto forget() -> void
    {
        const std::lock_guard lock(s_mutex);
        s_running.erase(m_pid);
        m_pid = -1;
    }
    static inline std::mutex s_mutex;
    static inline std::set<pid_t> s_running;
    std::string m_root;
    std::string m_folder;
    std::string m_name;
    pid_t m_pid = -1;
};

inline auto waitUntil(const std::function<bool()> &condition, double limitMs) -> bool
{
    const double until = nowMs() + limitMs;
    while (!condition()) {
        if (nowMs() > until) {
            return false;
        }
        sleepMs(50);
    }
    return true;
}

/// Limits and bounds of a frontend as in the sheets.
inline auto smallBounds() -> std::map<std::string, std::string>
{
    return {{"limits.cpu_share", "0.19"}, {"limits.memory_mb", "260"}, {"limits.max_fds", "4100"}, {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.budget_window_s", "10"}, {"bounds.budget_extra", "58"}, {"bounds.lease_ms", "3000"}, {"bounds.grace_s", "8"},
            {"bounds.ceiling_window_s", "5"}, {"bounds.ceiling_overshoot", "1.1"}, {"bounds.revoke_strict", "false"}};
}

/// Writes a server's row about every beat_ms until it is stopped.
class Beat
{
public:
    Beat(Store &store, std::string id, std::function<Json()> row)
        : m_thread([this, &store, id = std::move(id), row = std::move(row)] {
            for (std::uint64_t sequence = 1; !m_stopped; ++sequence) {
                auto text = row();
                text["sequence"] = sequence;
                store.put("servers", id, text.dump());
                for (int i = 0; i < 12 && !m_stopped; ++i) {
                    sleepMs(100);
                }
            }
        })
    {
    }
    ~Beat()
    {
        stop();
    }
    auto stop() -> void
    {
        m_stopped = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

} // namespace rig
