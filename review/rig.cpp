// The scripts' cases: rig NAME CASE_FOLDER REPOSITORY. Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run.
#include "rig.h"

namespace
{

constexpr int Broken = 1;
constexpr int Held = 0;
constexpr int CouldNotRun = 2;

struct Sent {
    std::int64_t at = 0;
    int status = 0; // 0: no answer
};

/// Clients that keep a connection each and send a request about every `gapMs`.
class SteadyClients
{
public:
    SteadyClients(Record &record, const std::vector<Gateway *> &gateways, int perGateway, int gapMs)
        : m_record(record)
    {
        int number = 0;
        for (auto *gateway : gateways) {
            for (int i = 0; i < perGateway; ++i) {
                m_threads.emplace_back([this, port = gateway->callers, number = ++number, gapMs] { run(port, number, gapMs); });
            }
        }
    }
    ~SteadyClients()
    {
        stop();
    }
    void stop()
    {
        m_stop = true;
        for (auto &thread : m_threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }
    auto sent() const -> std::map<std::string, Sent>
    {
        const std::lock_guard lock(m_mutex);
        return m_sent;
    }

private:
    void run(int port, int number, int gapMs)
    {
        sleepMs(number * 31 % 200); // so that the clients aren't in step
        int fd = -1;
        std::unique_ptr<Reader> reader;
        for (int i = 0; !m_stop; ++i) {
            if (fd < 0) {
                fd = connectTo(port);
                reader = std::make_unique<Reader>(fd);
            }
            char attempt[32];
            std::snprintf(attempt, sizeof attempt, "c%02d-%06d", number, i);
            const auto at = nowMs();
            Message answer;
            const bool isAnswered = fd >= 0 && sendAll(fd, requestText("POST", "/book/item", attempt, 3000, "", "{}")) && reader->next(answer, true) && answer.isWhole;
            {
                const std::lock_guard lock(m_mutex);
                m_sent[attempt] = {at, isAnswered ? answer.status : 0};
            }
            m_record.line("client %s sent at %lld, answered %d", attempt, static_cast<long long>(m_record.since(at)), isAnswered ? answer.status : 0);
            if (fd >= 0 && (!isAnswered || answer.header("connection") == "close")) {
                close(fd);
                fd = -1;
            }
            sleepMs(gapMs + (number + i) % 7);
        }
        if (fd >= 0) {
            close(fd);
        }
    }
    Record &m_record;
    std::atomic<bool> m_stop = false;
    mutable std::mutex m_mutex;
    std::map<std::string, Sent> m_sent;
    std::vector<std::thread> m_threads;
};

/// What reached a runner that had left, later than `drain_ms` after the store acknowledged that. The requests count that were also sent later than that.
struct LateArrivals {
    int count = 0;
    int before = 0; ///< arrivals up to the acknowledgement
    int lost = 0; ///< of `count`: requests that the runner began and whose client got no answer, or a 5xx
    std::int64_t lastMs = 0;
};

auto findLate(Record &record, const std::vector<Arrival> &arrivals, const std::map<std::string, Sent> &sent, const std::set<std::string> &left,
              std::int64_t acknowledged, std::int64_t drainMs) -> LateArrivals
{
    LateArrivals late;
    for (const auto &arrival : arrivals) {
        const auto found = sent.find(arrival.attempt);
        if (!left.contains(arrival.runner) || found == sent.end()) {
            continue;
        }
        late.before += arrival.at <= acknowledged ? 1 : 0;
        const auto &request = found->second;
        if (request.at > acknowledged + drainMs && arrival.at > acknowledged + drainMs) {
            ++late.count;
            late.lost += request.status == 0 || request.status >= 500 ? 1 : 0;
            late.lastMs = std::max(late.lastMs, arrival.at - acknowledged);
            record.line("LATE: %s, sent %lld ms after the acknowledgement, reached %s %lld ms after it, answered %d", arrival.attempt.c_str(),
                        static_cast<long long>(request.at - acknowledged), arrival.runner.c_str(), static_cast<long long>(arrival.at - acknowledged),
                        request.status);
        }
    }
    record.line("%zu requests sent; before the acknowledgement %d reached the runners that leave; later than drain_ms (%lld) after it %d, the last after %lld ms; "
                "%d of these began to run and were lost",
                sent.size(), late.before, static_cast<long long>(drainMs), late.count, static_cast<long long>(late.lastMs), late.lost);
    std::printf("late arrivals: %d (%d lost), the last %lld ms after the acknowledgement\n", late.count, late.lost, static_cast<long long>(late.lastMs));
    return late;
}

auto plainBody(const Message & /*request*/) -> std::string
{
    return std::string(800, 'x');
}

/// Two of three runners leave at once and never report `draining`: their entries are removed, they go on serving for drain_ms and a little longer, and exit.
auto drainCase(Setup &setup) -> int
{
    constexpr std::int64_t DrainMs = 2000;
    constexpr std::int64_t ExitMs = 2200;
    auto &record = setup.record;
    auto &store = *new Store; // its threads run until the process ends, as those of the runners
    auto &arrivals = *new Arrivals;
    store.apply({{"op", "config", plainConfig(1, "app")}});
    std::vector<Runner *> runners;
    for (const char *id : {"i-one", "i-two", "i-three"}) {
        runners.push_back(new Runner(store, arrivals, record, id, "app", 60, plainBody));
    }
    Gateway first(setup.root, setup.temp, "frontend-1", store.addPort());
    Gateway second(setup.root, setup.temp, "frontend-2", store.addPort());
    if (!waitReady({&first, &second})) {
        return CouldNotRun;
    }
    SteadyClients clients(record, {&first, &second}, 3, 40);
    sleepMs(8000); // longer than stable_window_ms: the machines are in touch, and the store is stable
    auto acknowledged = nowMs();
    if (setup.hasTrouble) {
        runners[0]->stopBeats();
        runners[1]->stopBeats();
        acknowledged = store.apply({{"servers", "i-one", std::nullopt}, {"servers", "i-two", std::nullopt}});
        record.line("store: the entries of i-one and i-two are removed (acknowledged)");
    }
    sleepMs(ExitMs);
    if (setup.hasTrouble) {
        runners[0]->exit();
        runners[1]->exit();
        record.line("i-one and i-two exit");
    }
    sleepMs(3000);
    clients.stop();
    if (!setup.hasTrouble) {
        acknowledged = nowMs(); // nobody has left
    }
    const auto late = findLate(record, arrivals.all(), clients.sent(), {"i-one", "i-two"}, acknowledged, DrainMs);
    if (late.before < 20) {
        return CouldNotRun;
    }
    return late.count > 0 ? Broken : Held;
}

struct Fleet {
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<std::size_t> followers; ///< those that follow the store's list of runners
    std::vector<std::size_t> others;
};

/// Starts eight machines, and finds out at the store which of them follow the list of runners.
auto startFleet(Setup &setup, Store &store, Fleet &fleet) -> bool
{
    constexpr int Machines = 8;
    std::vector<Gateway *> all;
    for (int i = 0; i < Machines; ++i) {
        fleet.gateways.push_back(std::make_unique<Gateway>(setup.root, setup.temp, "frontend-" + std::to_string(i + 1), store.addPort()));
        all.push_back(fleet.gateways.back().get());
    }
    if (!waitReady(all)) {
        return false;
    }
    sleepMs(6000);
    for (std::size_t i = 0; i < all.size(); ++i) {
        const bool follows = store.follows(i, 2500);
        (follows ? fleet.followers : fleet.others).push_back(i);
        setup.record.line("%s %s the store's list of runners", all[i]->name.c_str(), follows ? "follows" : "doesn't follow");
    }
    return !fleet.followers.empty() && fleet.followers.size() * 100 <= all.size() * 55;
}

auto chosen(const Fleet &fleet, const std::vector<std::size_t> &numbers) -> std::vector<Gateway *>
{
    std::vector<Gateway *> result;
    for (const auto i : numbers) {
        result.push_back(fleet.gateways[i].get());
    }
    return result;
}

/// The machines that follow the store's list of runners are killed at once, and soon after that a runner leaves that never reports `draining`. Judged are the
/// machines that weren't killed. Without the disruption, the runner leaves all the same.
auto killedFollowersCase(Setup &setup) -> int
{
    constexpr std::int64_t DrainMs = 2000;
    constexpr std::int64_t DownMs = 2000;
    constexpr std::int64_t ExitMs = 2500;
    auto &record = setup.record;
    auto &store = *new Store;
    auto &arrivals = *new Arrivals;
    store.apply({{"op", "config", plainConfig(1, "app")}});
    std::vector<Runner *> runners;
    for (const char *id : {"i-one", "i-two", "i-three", "i-four"}) {
        runners.push_back(new Runner(store, arrivals, record, id, "app", 60, plainBody));
    }
    Fleet fleet;
    if (!startFleet(setup, store, fleet)) {
        return CouldNotRun;
    }
    SteadyClients clients(record, chosen(fleet, fleet.others), 2, 40);
    sleepMs(5000);
    std::thread restarts;
    if (setup.hasTrouble) {
        for (auto *gateway : chosen(fleet, fleet.followers)) {
            gateway->signal(SIGKILL);
            record.line("SIGKILL to %s", gateway->name.c_str());
        }
        restarts = std::thread([&] {
            sleepMs(DownMs);
            for (auto *gateway : chosen(fleet, fleet.followers)) {
                gateway->waitEnd(1000);
                gateway->start();
                record.line("%s is started again", gateway->name.c_str());
            }
        });
    }
    sleepMs(200);
    runners[0]->stopBeats();
    const auto acknowledged = store.apply({{"servers", "i-one", std::nullopt}});
    record.line("store: the entry of i-one is removed (acknowledged)");
    sleepMs(ExitMs);
    runners[0]->exit();
    record.line("i-one exits");
    sleepMs(3000);
    if (restarts.joinable()) {
        restarts.join();
    }
    clients.stop();
    const auto late = findLate(record, arrivals.all(), clients.sent(), {"i-one"}, acknowledged, DrainMs);
    if (late.before < 20) {
        return CouldNotRun;
    }
    return late.count > 0 ? Broken : Held;
}

/// The machines that follow the store are cut off from it, and then a configuration moves the routes to another service. Judged are the machines that reach
/// the store all the time. Without the disruption, the configuration comes all the same.
auto cutFollowersCase(Setup &setup) -> int
{
    constexpr std::int64_t ConfigMs = 2000;
    auto &record = setup.record;
    auto &store = *new Store;
    auto &arrivals = *new Arrivals;
    store.apply({{"op", "config", plainConfig(3, "app")}});
    for (const char *id : {"i-old-1", "i-old-2"}) {
        new Runner(store, arrivals, record, id, "app", 20, plainBody);
    }
    for (const char *id : {"i-new-1", "i-new-2"}) {
        new Runner(store, arrivals, record, id, "app-next", 20, plainBody);
    }
    Fleet fleet;
    if (!startFleet(setup, store, fleet)) {
        return CouldNotRun;
    }
    SteadyClients clients(record, chosen(fleet, fleet.others), 1, 40);
    sleepMs(5000);
    if (setup.hasTrouble) {
        for (const auto i : fleet.followers) {
            store.cut(i);
            record.line("%s is cut off from the store", fleet.gateways[i]->name.c_str());
        }
    }
    sleepMs(100);
    const auto acknowledged = store.apply({{"op", "config", plainConfig(8, "app-next")}});
    record.line("store: the configuration 8, which moves all routes from app to app-next, is acknowledged");
    sleepMs(6000);
    clients.stop();
    const auto sent = clients.sent();
    int stale = 0;
    int moved = 0;
    std::int64_t latest = 0;
    for (const auto &arrival : arrivals.all()) {
        const auto found = sent.find(arrival.attempt);
        if (found == sent.end() || found->second.at <= acknowledged + ConfigMs) {
            continue;
        }
        const bool isStale = arrival.runner.rfind("i-old", 0) == 0;
        moved += isStale ? 0 : 1;
        if (isStale) {
            ++stale;
            latest = std::max(latest, found->second.at - acknowledged);
            record.line("STALE: %s, sent %lld ms after the acknowledgement, was run by %s of the old service", arrival.attempt.c_str(),
                        static_cast<long long>(found->second.at - acknowledged), arrival.runner.c_str());
        }
    }
    record.line("of the requests sent later than config_ms (%lld) after the acknowledgement, %d were run by the old service, the last sent %lld ms after it; %d by the new",
                static_cast<long long>(ConfigMs), stale, static_cast<long long>(latest), moved);
    std::printf("run by the old service: %d, the last sent %lld ms after the acknowledgement; by the new: %d\n", stale, static_cast<long long>(latest), moved);
    if (moved == 0) {
        return CouldNotRun;
    }
    return stale > 0 ? Broken : Held;
}

/// One client that reads a large answer at an even pace, all of it in `readMs`.
struct SlowReader {
    std::size_t wanted = 0;
    std::size_t got = 0; ///< bytes of the body
    std::int64_t lastMs = 0; ///< from the request to the last bytes
    std::string statusLine;
    bool isReset = false;

    void run(int port, const std::string &attempt, std::int64_t readMs)
    {
        // As behind a link with an MTU of 1500, with a small receive buffer.
        const int fd = connectTo(port, [](int socket) {
            const int segment = 1448;
            const int window = 16384;
            setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
            setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        });
        const auto sentAt = nowMs();
        if (fd < 0 || !sendAll(fd, requestText("GET", "/app/file/" + std::to_string(wanted), attempt, 11000))) {
            return;
        }
        std::string head;
        bool hasHead = false;
        while (got < wanted) {
            std::string piece(std::max<std::size_t>(wanted * 50 / static_cast<std::size_t>(readMs), 4096), '\0'); // a share for every 50 ms
            const auto n = recv(fd, piece.data(), piece.size(), 0);
            if (n <= 0) {
                isReset = n < 0;
                break;
            }
            lastMs = nowMs() - sentAt;
            got += static_cast<std::size_t>(n);
            if (!hasHead) {
                head.append(piece.data(), static_cast<std::size_t>(n));
                const auto end = head.find("\r\n\r\n");
                hasHead = end != std::string::npos;
                got = hasHead ? head.size() - end - 4 : 0;
            }
            const auto due = sentAt + static_cast<std::int64_t>(got) * readMs / static_cast<std::int64_t>(wanted);
            sleepMs(std::max<std::int64_t>(due - nowMs(), 0));
        }
        statusLine = head.substr(0, std::min(head.find("\r\n"), head.size()));
        close(fd);
    }
};

/// Machines are stopped with SIGTERM one after the other, and each has a client then that reads a large answer slowly.
auto stopCase(Setup &setup) -> int
{
    constexpr int Machines = 8;
    constexpr std::size_t SmallestBody = 1200000;
    constexpr std::size_t BodyStep = 150000;
    constexpr std::int64_t ReadMs = 6000; // each client has read all by then
    constexpr std::int64_t TermMs = 300; // after the machine's request was sent
    constexpr std::int64_t GapMs = 1000; // from one machine to the next
    auto &record = setup.record;
    auto &store = *new Store;
    auto &arrivals = *new Arrivals;
    store.apply({{"op", "config", plainConfig(1, "app")}});
    const auto body = [](const Message &request) { return std::string(static_cast<std::size_t>(std::atoll(request.path.substr(10).c_str())), 'x'); };
    for (const char *id : {"i-one", "i-two", "i-three"}) {
        new Runner(store, arrivals, record, id, "app", 20, body);
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<Gateway *> all;
    for (int i = 0; i < Machines; ++i) {
        gateways.push_back(std::make_unique<Gateway>(setup.root, setup.temp, "frontend-" + std::to_string(i + 1), store.addPort()));
        all.push_back(gateways.back().get());
    }
    if (!waitReady(all)) {
        return CouldNotRun;
    }
    sleepMs(4000);
    std::vector<SlowReader> readers(Machines);
    std::vector<std::thread> threads;
    for (int i = 0; i < Machines; ++i) {
        readers[i].wanted = SmallestBody + BodyStep * static_cast<std::size_t>(i);
        threads.emplace_back([&, i] {
            sleepMs(GapMs * i);
            record.line("client slow-%d sends its request to %s, with a deadline of 11000 ms", i, all[i]->name.c_str());
            readers[i].run(all[i]->callers, "slow-" + std::to_string(i), ReadMs);
        });
        threads.emplace_back([&, i] {
            sleepMs(GapMs * i + TermMs);
            if (!setup.hasTrouble) {
                return;
            }
            const auto termAt = nowMs();
            all[i]->signal(SIGTERM);
            record.line("SIGTERM to %s", all[i]->name.c_str());
            const auto status = all[i]->waitEnd(9000);
            record.line("%s ended %lld ms after SIGTERM, wait status %d", all[i]->name.c_str(), static_cast<long long>(nowMs() - termAt), status.value_or(-1));
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    int lost = 0;
    for (int i = 0; i < Machines; ++i) {
        const auto &reader = readers[i];
        lost += reader.got < reader.wanted ? 1 : 0;
        record.line("client slow-%d: %s; got %zu of %zu bytes of the body, the last %lld ms after the request%s", i, reader.statusLine.c_str(), reader.got,
                    reader.wanted, static_cast<long long>(reader.lastMs), reader.got < reader.wanted ? reader.isReset ? ": LOST by a reset" : ": LOST" : "");
    }
    record.line("%d of %d answers ended early", lost, Machines);
    std::printf("%d of %d answers ended early\n", lost, Machines);
    if (arrivals.all().size() < static_cast<std::size_t>(Machines)) {
        return CouldNotRun;
    }
    return lost > 0 ? Broken : Held;
}

/// Runners cut off answers that remain unread for some seconds. Meanwhile, the machine serves other clients.
auto cutAnswersCase(Setup &setup) -> int
{
    constexpr std::size_t BodyBytes = 16000000;
    constexpr std::int64_t UnreadMs = 3000; // after that, a runner cuts its answer off
    constexpr std::int64_t PauseMs = 4500; // the clients pause this long while they read
    constexpr int Downloads = 16;
    constexpr int Rounds = 4;
    constexpr std::int64_t MaxMs = 60000; // for all rounds
    auto &record = setup.record;
    auto &store = *new Store;
    auto &arrivals = *new Arrivals;
    store.apply({{"op", "config", plainConfig(1, "app")}});
    static const std::string Bytes(BodyBytes, 'x');
    std::atomic<int> &cut = *new std::atomic<int>(0);
    for (const char *id : {"i-one", "i-two", "i-three"}) {
        auto *runner = new Runner(store, arrivals, record, id, "app", 150, plainBody);
        runner->sendFile = [&record, &cut, hasTrouble = setup.hasTrouble](int fd, const std::string &attempt, const std::string &own) {
            const auto head = "HTTP/1.1 200 OK\r\n" + own + "Content-Length: " + std::to_string(BodyBytes) + "\r\nConnection: close\r\n\r\n";
            if (!sendAll(fd, head)) {
                return false;
            }
            fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
            auto movedAt = nowMs();
            for (std::size_t done = 0; done < BodyBytes;) {
                const auto n = send(fd, Bytes.data() + done, std::min<std::size_t>(BodyBytes - done, 65536), MSG_NOSIGNAL);
                if (n > 0) {
                    done += static_cast<std::size_t>(n);
                    movedAt = nowMs();
                    continue;
                }
                if (errno != EAGAIN) {
                    return false;
                }
                if (hasTrouble && nowMs() - movedAt > UnreadMs) {
                    record.line("runner cuts off the answer to %s, unread for %lld ms", attempt.c_str(), static_cast<long long>(UnreadMs));
                    ++cut;
                    const linger reset {1, 0};
                    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                    return false; // closing it resets the connection
                }
                pollfd state {fd, POLLOUT, 0};
                poll(&state, 1, 50);
            }
            return true;
        };
    }
    Gateway first(setup.root, setup.temp, "frontend-1", store.addPort());
    Gateway second(setup.root, setup.temp, "frontend-2", store.addPort());
    if (!waitReady({&first, &second})) {
        return CouldNotRun;
    }
    SteadyClients clients(record, {&first}, 16, 5);
    sleepMs(4000);
    std::optional<int> ended;
    const auto until = nowMs() + MaxMs;
    for (int round = 0; round < Rounds && !ended && nowMs() < until; ++round) {
        std::vector<std::thread> downloads;
        for (int i = 0; i < Downloads; ++i) {
            downloads.emplace_back([&, round, i] {
                const auto attempt = "slow-" + std::to_string(round) + "-" + std::to_string(i);
                const int fd = connectTo(first.callers, [](int socket) {
                    const int window = 65536;
                    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
                });
                if (fd < 0 || !sendAll(fd, requestText("GET", "/app/file", attempt, 11000))) {
                    return;
                }
                std::string piece(65536, '\0');
                std::size_t got = 0;
                const auto pauseAt = nowMs();
                for (bool hasPaused = false;;) {
                    const auto n = recv(fd, piece.data(), piece.size(), 0);
                    if (n <= 0) {
                        break;
                    }
                    got += static_cast<std::size_t>(n);
                    if (!hasPaused && got > 200000) {
                        hasPaused = true;
                        sleepMs(PauseMs);
                    }
                }
                record.line("client %s got %zu bytes in %lld ms", attempt.c_str(), got, static_cast<long long>(nowMs() - pauseAt));
                close(fd);
            });
        }
        for (auto &thread : downloads) {
            thread.join();
        }
        ended = first.waitEnd(200);
    }
    clients.stop();
    if (ended) {
        record.line("frontend-1 has ended by itself, wait status %d (signal %d)", *ended, WIFSIGNALED(*ended) ? WTERMSIG(*ended) : 0);
    }
    // Requests that were passed on to a runner, and whose connection was closed without an answer.
    const auto sent = clients.sent();
    std::set<std::string> lost;
    for (const auto &arrival : arrivals.all()) {
        const auto found = sent.find(arrival.attempt);
        if (found != sent.end() && found->second.status == 0) {
            lost.insert(arrival.attempt);
            record.line("LOST: %s ran at %s and its connection was closed without an answer", arrival.attempt.c_str(), arrival.runner.c_str());
        }
    }
    record.line("%d answers cut off by runners; %zu other requests that runners ran were never answered; the process %s", cut.load(), lost.size(),
                ended ? "ended by itself" : "went on");
    std::printf("%d answers cut off, %zu other requests lost, process %s\n", cut.load(), lost.size(), ended ? "ended by itself" : "went on");
    if (setup.hasTrouble && cut == 0) {
        return CouldNotRun;
    }
    return lost.size() > 3 ? Broken : Held;
}

} // namespace

auto main(int count, char **texts) -> int
{
    if (count != 4) {
        return CouldNotRun;
    }
    auto setup = std::make_unique<Setup>(texts[2], texts[3]);
    const std::string name = texts[1];
    const std::map<std::string, std::function<int(Setup &)>> cases {{"drain", drainCase}, {"cut-answers", cutAnswersCase}, {"cut-followers", cutFollowersCase}, {"killed-followers", killedFollowersCase}, {"stop", stopCase}};
    const auto found = cases.find(name);
    const int result = found == cases.end() ? CouldNotRun : found->second(*setup);
    setup->record.line("result %d", result);
    std::fflush(stdout);
    setup.reset();
    _exit(result); // the stand-ins' threads still run
}
