// Stand-ins for the scripts in review/: a platform store, runners, an operator, clients, and the processes of the system under test. Each follows the users'
// pages (PROTOCOL.md, DEPLOY.md); where they are silent, it behaves like a sound server or client. One process, a thread a connection, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <array>
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
#include <iostream>
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
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

using Json = nlohmann::json;
using Headers = std::map<std::string, std::string>; // names in lower case

inline auto nowMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline auto unixMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// record.txt of a case: what was sent, answered and run, with milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_start(nowMs())
    {
    }
    void line(const char *format, ...)
    {
        char text[1024];
        va_list list;
        va_start(list, format);
        std::vsnprintf(text, sizeof text, format, list);
        va_end(list);
        const std::lock_guard lock(m_mutex);
        m_file << (nowMs() - m_start) << " ms  " << text << "\n";
        m_file.flush();
    }
    auto since(std::int64_t at) const -> std::int64_t
    {
        return at - m_start;
    }

private:
    std::ofstream m_file;
    std::int64_t m_start;
    std::mutex m_mutex;
};

// ---- sockets -------------------------------------------------------------------------------------------------------------------------------------------

inline auto addressOf(int port) -> sockaddr_in
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A listening socket on a free port of 127.0.0.1.
inline auto listenOn(int &port) -> int
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = addressOf(port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// A port that is free now, for a process that binds it itself. Below the range from which the kernel takes the ports of outgoing connections.
inline auto freePort() -> int
{
    constexpr int First = 15000;
    constexpr int Count = 15000;
    static int next = static_cast<int>(getpid()) * 97 % Count;
    for (int tries = 0; tries < Count; ++tries) {
        const int port = First + next++ % Count;
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = addressOf(port);
        const bool isFree = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        close(fd);
        if (isFree) {
            return port;
        }
    }
    std::exit(2);
}

inline auto sendAll(int fd, const std::string &bytes) -> bool
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto n = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

struct Message {
    std::string line; // request line or status line
    std::string method, path, query; // of a request
    int status = 0; // of an answer
    Headers headers;
    std::string body;
    bool isWhole = false;
    std::int64_t at = 0; // when its last byte was read

    auto header(const std::string &name) const -> std::string
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
};

/// Reads messages with a Content-Length or chunks from a connection.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }
    auto fill() -> bool
    {
        char buffer[65536];
        const auto n = recv(m_fd, buffer, sizeof buffer, 0);
        if (n <= 0) {
            return false;
        }
        m_bytes.append(buffer, static_cast<std::size_t>(n));
        return true;
    }
    /// False if the connection ended before a head.
    auto next(Message &message, bool isAnswer) -> bool
    {
        message = Message();
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        std::istringstream head(m_bytes.substr(0, end));
        m_bytes.erase(0, end + 4);
        std::getline(head, message.line);
        if (!message.line.empty() && message.line.back() == '\r') {
            message.line.pop_back();
        }
        for (std::string line; std::getline(head, line);) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto name = line.substr(0, colon);
            for (auto &c : name) {
                c = static_cast<char>(std::tolower(c));
            }
            auto value = line.substr(colon + 1);
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            message.headers[name] = value;
        }
        if (isAnswer) {
            message.status = message.line.size() > 11 ? std::atoi(message.line.c_str() + 9) : 0;
        } else {
            std::istringstream parts(message.line);
            std::string target;
            parts >> message.method >> target;
            const auto mark = target.find('?');
            message.path = target.substr(0, mark);
            message.query = mark == std::string::npos ? "" : target.substr(mark + 1);
        }
        if (message.header("transfer-encoding") == "chunked") {
            message.isWhole = readChunks(message.body);
        } else {
            const auto length = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
            while (m_bytes.size() < length && fill()) { }
            message.isWhole = m_bytes.size() >= length;
            message.body = m_bytes.substr(0, length);
            m_bytes.erase(0, length);
        }
        message.at = nowMs();
        return true;
    }

private:
    auto readLine(std::string &line) -> bool
    {
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        line = m_bytes.substr(0, end);
        m_bytes.erase(0, end + 2);
        return true;
    }
    auto readChunks(std::string &body) -> bool
    {
        for (std::string line; readLine(line);) {
            const auto size = std::strtoul(line.c_str(), nullptr, 16);
            while (m_bytes.size() < size + 2) {
                if (!fill()) {
                    body += m_bytes;
                    m_bytes.clear();
                    return false;
                }
            }
            body += m_bytes.substr(0, size);
            m_bytes.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
        return false;
    }
    int m_fd;
    std::string m_bytes;
};

inline auto answerText(int status, const std::string &body, const std::string &headers = "") -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves connections, a thread each. The handler returns the answer's bytes; empty: it has answered itself, or the connection is to be closed.
class Server
{
public:
    using Handler = std::function<std::string(const Message &request, int fd)>;
    explicit Server(Handler handler, int wantedPort = 0)
        : m_handler(std::move(handler))
    {
        port = wantedPort;
        m_listener = listenOn(port);
        std::thread([this] { accept(); }).detach();
    }
    int port = 0;

    /// Ends like a process that exits: no connection is accepted any more, and the open ones are closed.
    void stop()
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
        shutdown(m_listener, SHUT_RDWR);
        close(m_listener);
        for (const int fd : m_open) {
            shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void accept()
    {
        for (;;) {
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            {
                const std::lock_guard lock(m_mutex);
                if (m_isStopped) {
                    close(fd);
                    return;
                }
                m_open.insert(fd);
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                Reader reader(fd);
                Message request;
                while (reader.next(request, false) && request.isWhole) {
                    const auto answer = m_handler(request, fd);
                    if (answer.empty() || !sendAll(fd, answer)) {
                        break;
                    }
                }
                const std::lock_guard lock(m_mutex);
                m_open.erase(fd);
                close(fd);
            }).detach();
        }
    }
    Handler m_handler;
    int m_listener = -1;
    std::mutex m_mutex;
    std::set<int> m_open;
    bool m_isStopped = false;
};

// ---- the platform's store ------------------------------------------------------------------------------------------------------------------------------

inline auto encode64(const std::string &text) -> std::string
{
    static const char *Letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        const auto byte = [&](std::size_t k) { return i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U; };
        const unsigned word = byte(0) << 16U | byte(1) << 8U | byte(2);
        out += Letters[word >> 18U & 63U];
        out += Letters[word >> 12U & 63U];
        out += i + 1 < text.size() ? Letters[word >> 6U & 63U] : '=';
        out += i + 2 < text.size() ? Letters[word & 63U] : '=';
    }
    return out;
}

inline auto queryValue(const std::string &query, const std::string &name) -> std::string
{
    std::istringstream parts(query);
    for (std::string part; std::getline(parts, part, '&');) {
        if (part.rfind(name + "=", 0) != 0) {
            continue;
        }
        std::string value;
        for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
            if (part[i] == '%' && i + 2 < part.size()) {
                value += static_cast<char>(std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                value += part[i];
            }
        }
        return value;
    }
    return "";
}

class Store
{
public:
    struct Row {
        std::string value; // base64
        std::uint64_t ver = 0;
        bool removed = false;
    };
    /// A port of the store's own, so that the store can tell its callers apart.
    auto addPort() -> int
    {
        const auto caller = m_servers.size();
        m_servers.push_back(std::make_unique<Server>([this, caller](const Message &request, int /*fd*/) {
            waitWhileCut(caller);
            auto answer = handle(request, caller);
            waitWhileCut(caller);
            return answer;
        }));
        const std::lock_guard lock(m_mutex);
        m_followedAt.resize(m_servers.size());
        return m_servers.back()->port;
    }
    /// Whether the caller of the port with that number, from 0, has asked for the changes of the runners' entries in the last `ms`.
    auto follows(std::size_t caller, std::int64_t ms) const -> bool
    {
        const std::lock_guard lock(m_mutex);
        return nowMs() - m_followedAt.at(caller) <= ms;
    }
    /// Cuts the caller off from now on: what it sends isn't read, and it gets nothing, on open connections and on new ones.
    void cut(std::size_t caller)
    {
        const std::lock_guard lock(m_mutex);
        m_cut.insert(caller);
    }
    /// Writes and removals of the platform's own (operator, runners), as one transaction. Returns when the store accepted it: the acknowledgement.
    auto apply(const std::vector<std::tuple<std::string, std::string, std::optional<std::string>>> &changes) -> std::int64_t
    {
        const std::lock_guard lock(m_mutex);
        ++m_ver;
        for (const auto &[table, key, value] : changes) {
            m_tables[table][key] = {value ? encode64(*value) : "", m_ver, !value};
        }
        m_changed.notify_all();
        return nowMs();
    }

private:
    void waitWhileCut(std::size_t caller) const
    {
        for (;;) {
            {
                const std::lock_guard lock(m_mutex);
                if (!m_cut.contains(caller)) {
                    return;
                }
            }
            sleepMs(20);
        }
    }
    static auto rowJson(const std::string &table, const std::string &key, const Row &row) -> Json
    {
        Json json {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.ver}};
        if (row.removed) {
            json["tombstone"] = true;
        } else {
            json["value"] = row.value;
        }
        return json;
    }
    auto page(const Json &rows, bool more = false) const -> std::string
    {
        const Json body {{"rows", rows}, {"ver", m_ver}, {"now_ms", nowMs()}, {"has_more", more}};
        return answerText(200, body.dump(), "Content-Type: application/json\r\n");
    }
    auto handle(const Message &request, std::size_t caller) -> std::string
    {
        sleepMs(4); // the sheets: 4 ms an answer
        std::unique_lock lock(m_mutex);
        const auto table = queryValue(request.query, "table");
        if (request.path == "/rows-get") {
            const auto from = queryValue(request.query, "from");
            const auto to = queryValue(request.query, "to");
            Json rows = Json::array();
            for (const auto &[key, row] : m_tables[table]) {
                if (!row.removed && key >= from && (to.empty() || key < to)) {
                    rows.push_back(rowJson(table, key, row));
                }
            }
            return page(rows);
        }
        if (request.path == "/rows-feed") {
            if (table == "servers") {
                m_followedAt.at(caller) = nowMs();
            }
            const auto after = std::strtoull(queryValue(request.query, "after").c_str(), nullptr, 10);
            const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::atoi(queryValue(request.query, "wait_ms").c_str()));
            const auto changes = [&] {
                std::multimap<std::uint64_t, Json> found;
                for (const auto &[key, row] : m_tables[table]) {
                    if (row.ver > after) {
                        found.emplace(row.ver, rowJson(table, key, row));
                    }
                }
                Json rows = Json::array();
                for (auto &[ver, json] : found) {
                    rows.push_back(json);
                }
                return rows;
            };
            auto rows = changes();
            while (rows.empty() && m_changed.wait_until(lock, until) != std::cv_status::timeout) {
                rows = changes();
            }
            return page(rows);
        }
        if (request.path == "/rows-tx") {
            const auto body = Json::parse(request.body, nullptr, false);
            if (!body.is_object()) {
                return answerText(400, "");
            }
            Json current = Json::array();
            bool holds = true;
            for (const auto &condition : body.value("expected_revision", Json::array())) {
                const std::string name = condition["table"];
                const std::string key = condition["key"];
                const auto found = m_tables[name].find(key);
                const bool exists = found != m_tables[name].end() && !found->second.removed;
                const std::uint64_t ver = exists ? found->second.ver : 0;
                holds = holds && ver == condition["ver"].get<std::uint64_t>();
                if (exists) {
                    current.push_back(rowJson(name, key, found->second));
                }
            }
            for (const char *list : {"writes", "remove"}) {
                for (const auto &entry : body.value(list, Json::array())) {
                    if (entry["table"] == "op" || entry["table"] == "servers") {
                        return answerText(403, "");
                    }
                }
            }
            if (!holds) {
                const Json answer {{"rows", current}, {"ver", m_ver}, {"now_ms", nowMs()}};
                return answerText(412, answer.dump(), "Content-Type: application/json\r\n");
            }
            ++m_ver;
            for (const auto &entry : body.value("writes", Json::array())) {
                m_tables[entry["table"]][entry["key"]] = {entry["value"], m_ver, false};
            }
            for (const auto &entry : body.value("remove", Json::array())) {
                m_tables[entry["table"]][entry["key"]] = {"", m_ver, true};
            }
            m_changed.notify_all();
            const Json answer {{"ver", m_ver}, {"now_ms", nowMs()}};
            return answerText(200, answer.dump(), "Content-Type: application/json\r\n");
        }
        return answerText(404, "");
    }
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::uint64_t m_ver = 100;
    std::vector<std::int64_t> m_followedAt; // by caller
    std::set<std::size_t> m_cut;
    std::vector<std::unique_ptr<Server>> m_servers;
};

// ---- runners of a plain service ------------------------------------------------------------------------------------------------------------------------

struct Arrival {
    std::string attempt;
    std::string runner;
    std::int64_t at = 0;
};

class Arrivals
{
public:
    void add(const Arrival &arrival)
    {
        const std::lock_guard lock(m_mutex);
        m_all.push_back(arrival);
    }
    auto all() const -> std::vector<Arrival>
    {
        const std::lock_guard lock(m_mutex);
        return m_all;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Arrival> m_all;
};

class Runner
{
public:
    using Body = std::function<std::string(const Message &request)>;
    /// Sends an answer's head and body itself. False: the connection is to be closed.
    using Sender = std::function<bool(int fd, const std::string &attempt, const std::string &ownHeaders)>;
    Sender sendFile; ///< used for paths that contain /file
    Runner(Store &store, Arrivals &arrivals, Record &record, std::string runnerId, std::string service, int workMs, Body body)
        : id(std::move(runnerId))
        , m_store(store)
        , m_arrivals(arrivals)
        , m_record(record)
        , m_service(std::move(service))
        , m_workMs(workMs)
        , m_body(std::move(body))
        , m_born(unixMs())
        , m_server([this](const Message &request, int fd) { return handle(request, fd); })
    {
        write();
        std::thread([this] {
            for (;;) {
                sleepMs(1000);
                const std::lock_guard lock(m_mutex);
                if (m_beats) {
                    ++m_sequence;
                    write();
                }
            }
        }).detach();
    }
    std::string id;

    /// The runner's process exits.
    void exit()
    {
        stopBeats();
        m_server.stop();
    }
    /// From now on the runner doesn't write its row any more; it goes on serving.
    void stopBeats()
    {
        const std::lock_guard lock(m_mutex);
        m_beats = false;
    }

private:
    void write()
    {
        const Json row {{"service", m_service}, {"address", "127.0.0.1:" + std::to_string(m_server.port)}, {"zone", "north"}, {"version", "v1"}, {"slots", 6},
                        {"state", "ready"}, {"cold_left_ms", 0}, {"sequence", m_sequence}, {"born", m_born}};
        m_store.apply({{"servers", id, row.dump()}});
    }
    auto handle(const Message &request, int fd) -> std::string
    {
        const auto attempt = request.header("attempt-id");
        const auto own = "Attempt-Id: " + attempt + "\r\nInstance-Id: " + id + "\r\n";
        const auto expected = request.header("expect-instance");
        if (!expected.empty() && expected != id) {
            return answerText(421, "", own + "Not-Executed: 1\r\n");
        }
        if (request.path == "/healthz") {
            return answerText(200, "", "Instance-Id: " + id + "\r\n");
        }
        if (attempt.empty()) {
            return answerText(400, "", "Not-Executed: 1\r\n");
        }
        m_arrivals.add({attempt, id, nowMs()});
        m_record.line("runner %s runs %s %s", id.c_str(), attempt.c_str(), request.path.c_str());
        sleepMs(m_workMs);
        if (sendFile && request.path.find("/file") != std::string::npos) {
            sendFile(fd, attempt, own + "Server-Stamp: " + id + "." + attempt + "\r\n");
            return ""; // the connection ends with the answer
        }
        return answerText(200, m_body(request), own + "Server-Stamp: " + id + "." + attempt + "\r\n");
    }
    Store &m_store;
    Arrivals &m_arrivals;
    Record &m_record;
    std::string m_service;
    int m_workMs;
    Body m_body;
    std::int64_t m_born;
    std::mutex m_mutex;
    bool m_beats = true;
    std::uint64_t m_sequence = 1;
    Server m_server;
};

// ---- processes of the system ---------------------------------------------------------------------------------------------------------------------------

/// The bounds of a small deployment: those of sites/rnds-directory.toml.
inline auto smallBounds() -> Json
{
    return {{"retry_budget_ratio", 0.2}, {"budget_window_s", 10}, {"budget_extra", 56}, {"lease_ms", 3000}, {"grace_s", 8}, {"ceiling_window_s", 5},
            {"ceiling_overshoot", 1.1}};
}

inline auto lookUp(const Json &fields, const std::string &path) -> std::string
{
    const Json *at = &fields;
    std::istringstream parts(path);
    for (std::string part; std::getline(parts, part, '.');) {
        if (at->is_array()) {
            const auto index = static_cast<std::size_t>(std::atoi(part.c_str()));
            at = index < at->size() ? &(*at)[index] : nullptr;
        } else {
            at = at->is_object() && at->contains(part) ? &(*at)[part] : nullptr;
        }
        if (at == nullptr) {
            return "";
        }
    }
    return at->is_string() ? at->get<std::string>() : at->is_boolean() ? (at->get<bool>() ? "true" : "") : at->dump();
}

/// Fills in the template of the deploy file as the platform does: values, and sections that are present or not.
inline auto fillTemplate(std::string text, const Json &fields) -> std::string
{
    for (std::size_t at = 0; (at = text.find("{{#")) != std::string::npos;) {
        const auto nameEnd = text.find("}}", at);
        const auto name = text.substr(at + 3, nameEnd - at - 3);
        const auto close = text.find("{{/" + name + "}}", nameEnd);
        const auto inner = text.substr(nameEnd + 2, close - nameEnd - 2);
        text.replace(at, close + name.size() + 5 - at, lookUp(fields, name).empty() ? "" : inner);
    }
    for (std::size_t at = 0; (at = text.find("{{")) != std::string::npos;) {
        const auto end = text.find("}}", at);
        text.replace(at, end + 2 - at, lookUp(fields, text.substr(at + 2, end - at - 2)));
    }
    return text;
}

/// The processes that were started and haven't ended, for the signal handler below.
inline std::array<std::atomic<pid_t>, 32> startedProcesses {};

/// Ends everything that was started if the case takes too long or is itself ended.
inline void endAtSignal(int /*number*/)
{
    for (const auto &pid : startedProcesses) {
        if (pid > 0) {
            kill(pid, SIGKILL);
        }
    }
    _exit(2);
}

/// One gateway, started as the deploy file says.
class Gateway
{
public:
    Gateway(const std::string &root, const std::string &folder, std::string name, int storePort, const Json &bounds = smallBounds())
        : name(std::move(name))
        , callers(freePort())
        , ready(freePort())
        , m_root(root)
        , m_folder(folder)
        , m_settings(folder + "/" + this->name + ".ini")
    {
        // The first of the internal ports and the one for metrics.
        const int first = freePort();
        const int last = freePort();
        const Json fields {{"node_name", this->name}, {"zone", "north"}, {"ip", "127.0.0.1"},
                           {"listen", {{"front", "127.0.0.1:" + std::to_string(callers)}, {"ready", "127.0.0.1:" + std::to_string(ready)}}},
                           {"internal_ports", {first, last}}, {"platform", {{"address", "127.0.0.1:" + std::to_string(storePort)}}},
                           {"limits", {{"cpu_share", 0.19}}}, {"bounds", bounds}};
        std::ifstream file(root + "/deploy/settings.ini");
        std::stringstream text;
        text << file.rdbuf();
        std::ofstream(m_settings) << fillTemplate(text.str(), fields);
        start();
    }
    ~Gateway()
    {
        if (m_pid > 0) {
            kill(m_pid, SIGCONT);
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            forget();
        }
    }
    Gateway(const Gateway &) = delete;
    auto operator=(const Gateway &) -> Gateway & = delete;

    void start()
    {
        m_pid = fork();
        if (m_pid < 0) {
            std::perror("fork");
            std::exit(2);
        }
        if (m_pid == 0) {
            const int log = open((m_folder + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            setenv("KINGCUPWORKS_BOOT", m_settings.c_str(), 1);
            if (chdir(m_root.c_str()) == 0) {
                execl("target/bin/kingcupd", "kingcupd", "--settings-from", "KINGCUPWORKS_BOOT", nullptr);
            }
            _exit(127);
        }
        for (auto &slot : startedProcesses) {
            pid_t none = 0;
            if (slot.compare_exchange_strong(none, m_pid)) {
                break;
            }
        }
    }
    void signal(int number) const
    {
        if (m_pid > 0) { // -1 would address all processes
            kill(m_pid, number);
        }
    }
    /// Waits for the end; the wait status, or nothing after `ms`.
    auto waitEnd(std::int64_t ms) -> std::optional<int>
    {
        const auto until = nowMs() + ms;
        while (m_pid > 0 && nowMs() < until) {
            int status = 0;
            if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
                forget();
                m_pid = -1;
                return status;
            }
            sleepMs(5);
        }
        return std::nullopt;
    }
    std::string name;
    int callers = 0;
    int ready = 0;

private:
    void forget() const
    {
        for (auto &slot : startedProcesses) {
            pid_t own = m_pid;
            slot.compare_exchange_strong(own, 0);
        }
    }
    std::string m_root;
    std::string m_folder;
    std::string m_settings;
    pid_t m_pid = -1;
};

// ---- clients -------------------------------------------------------------------------------------------------------------------------------------------

inline auto connectTo(int port, const std::function<void(int fd)> &prepare = nullptr) -> int
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (prepare) {
        prepare(fd);
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto address = addressOf(port);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline auto requestText(const std::string &method, const std::string &path, const std::string &attempt, int deadlineMs, const std::string &headers = "",
                        const std::string &body = "") -> std::string
{
    return method + " " + path + " HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + headers
        + (body.empty() && method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

inline auto isReady(const Gateway &gateway) -> bool
{
    const int fd = connectTo(gateway.ready);
    if (fd < 0) {
        return false;
    }
    Reader reader(fd);
    Message answer;
    const bool ok = sendAll(fd, "GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n") && reader.next(answer, true) && answer.status == 200;
    close(fd);
    return ok;
}

inline auto waitReady(const std::vector<Gateway *> &gateways) -> bool
{
    const auto until = nowMs() + 15000;
    for (auto *gateway : gateways) {
        while (!isReady(*gateway)) {
            if (nowMs() > until) {
                return false;
            }
            sleepMs(50);
        }
    }
    return true;
}

/// What every case needs: folder of the case, root of the repository, a temporary folder, and whether the disruption is left out.
struct Setup {
    std::string root;
    std::string temp;
    bool hasTrouble = true;
    Record record;

    explicit Setup(const char *caseFolder, const char *rootFolder)
        : root(rootFolder)
        , record(std::string(caseFolder) + "/record.txt")
    {
        const char *trouble = std::getenv("TROUBLE");
        hasTrouble = trouble == nullptr || std::string(trouble) != "0";
        char name[] = "/tmp/review-XXXXXX";
        temp = mkdtemp(name);
        std::signal(SIGPIPE, SIG_IGN);
        std::signal(SIGTERM, &endAtSignal);
        std::signal(SIGINT, &endAtSignal);
        std::signal(SIGALRM, &endAtSignal);
        alarm(100);
        record.line("%s the disruption", hasTrouble ? "with" : "without");
    }
    ~Setup()
    {
        if (std::getenv("KEEP") == nullptr) {
            const auto removed = std::system(("rm -rf " + temp).c_str());
            static_cast<void>(removed);
        }
    }
};

/// A configuration with two routes to the service: /app/ (idempotent) and /book/ (non_idempotent).
inline auto plainConfig(int version, const std::string &service) -> std::string
{
    Json route {{"name", "lookup"}, {"host", "app.example"}, {"prefix", "/app/"}, {"route_kind", "idempotent"}, {"service", service}, {"attempts", 2},
                {"timeout_ms", 12000}, {"goal_ms", 300}, {"priority", 2}};
    auto second = route;
    second["name"] = "booking";
    second["prefix"] = "/book/";
    second["route_kind"] = "non_idempotent";
    second["attempts"] = 1;
    Json services = Json::array();
    for (const char *name : {"app", "app-next"}) {
        services.push_back({{"name", name}, {"health_path", "/healthz"}, {"max_conns", 100}});
    }
    const Json config {{"version", version},
                       {"routes", {route, second}},
                       {"services", services},
                       {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 1048576}, {"header_timeout_ms", 5000}, {"idle_timeout_ms", 10000}}}};
    return config.dump();
}
