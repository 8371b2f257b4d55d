#include "settings/declarationfile.h"

#include "settings/inifile.h"
#include "settings/valueparsers.h"

#include <algorithm>
#include <filesystem>
#include <functional>
#include <tuple>

namespace KingCup
{

namespace
{

constexpr std::int64_t MaxMillis = 86400000;
constexpr std::int64_t MaxSeconds = 366 * 86400L;
constexpr double MaxShare = 1e6;
constexpr double MaxGigabytes = 4096;

/// Reads the keys of one section. Errors become findings with their line.
class SectionReader
{
public:
    SectionReader(const IniFile &file, const IniSection &section, Findings &findings)
        : m_file(file)
        , m_section(section)
        , m_findings(findings)
    {
    }

    auto place() const -> SourceLocation
    {
        return {m_file.path, m_section.line};
    }

    /// Calls `store` with the text of `key` if the section has that key. `store` returns an error message, empty if the text is valid.
    auto text(const std::string &key, const std::function<std::string(const std::string &)> &store) -> SectionReader &
    {
        m_readKeys.push_back(key);
        for (const auto &value : m_section.values) {
            if (value.key != key) {
                continue;
            }
            auto error = store(value.value);
            if (!error.empty()) {
                addFinding(value.line, error.insert(0, key + ": "));
            }
        }
        return *this;
    }

    /// Reads the name of another declared entity. Whether that one is declared is checked later, by checkDeclarations().
    auto reference(const std::string &key, const std::function<void(const std::string &)> &set) -> SectionReader &
    {
        return text(key, [&](const std::string &given) {
            set(given);
            return std::string();
        });
    }

    auto integer(const std::string &key, std::int64_t min, std::int64_t max, const std::function<void(std::int64_t)> &set) -> SectionReader &
    {
        return text(key, [&](const std::string &given) {
            const auto parsed = parseInteger(given, min, max);
            if (parsed.error.empty()) {
                set(parsed.value);
            }
            return parsed.error;
        });
    }

    auto decimal(const std::string &key, double min, double max, const std::function<void(double)> &set) -> SectionReader &
    {
        return text(key, [&](const std::string &given) {
            const auto parsed = parseDecimal(given, min, max);
            if (parsed.error.empty()) {
                set(parsed.value);
            }
            return parsed.error;
        });
    }

    auto choice(const std::string &key, const std::vector<std::string> &words, const std::function<void(std::size_t)> &set) -> SectionReader &
    {
        return text(key, [&](const std::string &given) {
            const auto parsed = parseWord(given, words);
            if (parsed.error.empty()) {
                set(parsed.value);
            }
            return parsed.error;
        });
    }

    /// Adds a finding if the section lacks `key`.
    auto require(const std::string &key) -> SectionReader &
    {
        const auto isKey = [&](const IniValue &value) {
            return value.key == key;
        };
        if (std::none_of(m_section.values.begin(), m_section.values.end(), isKey)) {
            m_findings.push_back({place(), "[" + m_section.name + "] lacks the key '" + key + "'"});
        }
        return *this;
    }

    /// Adds a finding for each key that no earlier call has read.
    auto rejectUnknownKeys() -> void
    {
        for (const auto &value : m_section.values) {
            if (std::find(m_readKeys.begin(), m_readKeys.end(), value.key) == m_readKeys.end()) {
                addFinding(value.line, "unknown key '" + value.key + "' in [" + m_section.name + "]");
            }
        }
    }

private:
    auto addFinding(int line, std::string message) -> void
    {
        m_findings.push_back({{m_file.path, line}, std::move(message)});
    }

    const IniFile &m_file;
    const IniSection &m_section;
    Findings &m_findings;
    std::vector<std::string> m_readKeys;
};

/// Parses a list such as "POST /debits, PUT /extensions". Returns an error message, empty if the text is valid.
auto parseCalls(const std::string &text, std::vector<NonIdempotentCall> &calls) -> std::string
{
    for (const auto &part : splitList(text)) {
        const auto blank = part.find(' ');
        const auto path = blank == std::string::npos ? std::string::npos : part.find_first_not_of(' ', blank);
        if (path == std::string::npos || part[path] != '/') {
            return "'" + part + "' is not METHOD /PATH";
        }
        calls.push_back({part.substr(0, blank), part.substr(path)});
    }
    return {};
}

/// Reads the sections of all files into one set.
class DeclarationReader
{
public:
    explicit DeclarationReader(Checked<Declarations> &result)
        : m_result(result)
    {
    }

    auto read(const IniFile &file) -> void
    {
        for (const auto &section : file.sections) {
            readSection(file, section);
        }
    }

    /// Resolves references between sections: adds versions to their models and sets the services that versions and adapters inherit.
    auto link() -> void
    {
        auto &set = m_result.value;
        linkVersions(set);
        for (auto &[name, artifact] : set.artifacts) {
            if (artifact.kind == ArtifactKind::ModelVersion) {
                artifact.service = serviceOfVersion(name);
            }
        }
        for (auto &[name, artifact] : set.artifacts) {
            const auto base = set.artifacts.find(artifact.base);
            if (artifact.kind == ArtifactKind::Adapter && base != set.artifacts.end()) {
                artifact.service = base->second.service;
            }
        }
    }

private:
    auto readSection(const IniFile &file, const IniSection &section) -> void
    {
        SectionReader reader(file, section, m_result.findings);
        if (section.name == "policy") {
            readPolicy(reader);
            return;
        }
        const auto blank = section.name.find(' ');
        const auto kind = section.name.substr(0, blank);
        const auto name = blank == std::string::npos ? std::string() : section.name.substr(blank + 1);
        const auto parsed = parseName(name);
        if (kind != "service" && kind != "model" && kind != "version" && kind != "adapter" && kind != "target") {
            addFinding(reader.place(), "unknown section [" + section.name + "]");
        } else if (!parsed.error.empty()) {
            addFinding(reader.place(), "[" + section.name + "]: " + parsed.error);
        } else if (kind == "service") {
            readService(reader, name);
        } else if (kind == "model") {
            readModel(reader, name);
        } else if (kind == "version") {
            readVersion(reader, name);
        } else if (kind == "adapter") {
            readAdapter(reader, name);
        } else {
            readTarget(reader, name);
        }
    }

    auto readService(SectionReader &reader, const std::string &name) -> void
    {
        Service service {.name = ServiceName(name), .location = reader.place()};
        reader.choice("kind", {"models", "plain"}, [&](std::size_t index) { service.kind = static_cast<ServiceKind>(index); })
            .choice("priority", {"interactive", "standard", "batch"}, [&](std::size_t index) { service.priority = static_cast<Priority>(index); })
            .integer("time-budget-ms", 1, MaxMillis, [&](std::int64_t n) { service.timeBudget = Duration::millis(n); })
            .decimal("share", 0, MaxShare, [&](double number) { service.share = number; })
            .integer("claim-retention-s", 1, MaxSeconds, [&](std::int64_t n) { service.claimRetention = Duration::seconds(static_cast<double>(n)); })
            .text("non-idempotent", [&](const std::string &text) { return parseCalls(text, service.nonIdempotentCalls); })
            .rejectUnknownKeys();
        insert(m_result.value.services, service.name, service, reader.place(), "service " + name);
    }

    auto readModel(SectionReader &reader, const std::string &name) -> void
    {
        Model model {.name = name, .location = reader.place()};
        const auto setCurrent = [&](const std::string &text) {
            model.current = ArtifactName(text.find('@') == std::string::npos ? name + "@" + text : text);
        };
        reader.reference("service", [&](const std::string &text) { model.service = ServiceName(text); }).reference("current", setCurrent).rejectUnknownKeys();
        insert(m_result.value.models, name, model, reader.place(), "model " + name);
    }

    auto readVersion(SectionReader &reader, const std::string &name) -> void
    {
        Artifact artifact {.name = ArtifactName(name), .location = reader.place()};
        readSize(reader, artifact);
        reader.rejectUnknownKeys();
        insert(m_result.value.artifacts, artifact.name, artifact, reader.place(), "artifact " + name);
    }

    auto readAdapter(SectionReader &reader, const std::string &name) -> void
    {
        Artifact artifact {.name = ArtifactName(name), .kind = ArtifactKind::Adapter, .location = reader.place()};
        reader.reference("base", [&](const std::string &text) { artifact.base = ArtifactName(text); });
        readSize(reader, artifact);
        reader.rejectUnknownKeys();
        insert(m_result.value.artifacts, artifact.name, artifact, reader.place(), "artifact " + name);
    }

    static auto readSize(SectionReader &reader, Artifact &artifact) -> void
    {
        // Any size above 0: an invalid one is reported below and must not be reported by checkDeclarations() as well.
        artifact.size = Bytes(1);
        constexpr double MinGigabytes = 1e-6;
        reader.require("size-gb").decimal(
            "size-gb", MinGigabytes, MaxGigabytes, [&](double number) { artifact.size = std::max(Bytes(1), Bytes::gigabytes(number)); });
    }

    auto readTarget(SectionReader &reader, const std::string &name) -> void
    {
        Target target {.id = TargetId(name), .location = reader.place()};
        reader.reference("service", [&](const std::string &text) { target.service = ServiceName(text); })
            .choice("fencing", {"checked", "ignored"}, [&](std::size_t index) { target.fencing = static_cast<FencingSupport>(index); })
            .integer("longest-order-delay-ms", 0, MaxMillis, [&](std::int64_t n) { target.longestOrderDelay = Duration::millis(n); })
            .rejectUnknownKeys();
        insert(m_result.value.targets, target.id, target, reader.place(), "target " + name);
    }

    auto readPolicy(SectionReader &reader) -> void
    {
        constexpr double MaxRate = 1e6;
        constexpr std::int64_t MaxLoads = 1000;
        constexpr double MaxReserve = 0.95;
        constexpr std::int64_t MaxZones = 100;
        auto &policy = m_result.value.policy;
        if (policy.location.line != 0) {
            addFinding(reader.place(), "[policy] stands twice, first in " + policy.location.file + ":" + std::to_string(policy.location.line));
            return;
        }
        policy.location = reader.place();
        reader.decimal("move-cost", 0, MaxRate, [&](double number) { policy.moveCost = number; })
            .integer("horizon-s", 1, MaxSeconds, [&](std::int64_t n) { policy.horizon = Duration::seconds(static_cast<double>(n)); })
            .decimal("loads-per-second", 0.001, MaxRate, [&](double number) { policy.loadsPerSecond = number; })
            .integer("parallel-loads", 1, MaxLoads, [&](std::int64_t n) { policy.parallelLoads = static_cast<int>(n); })
            .decimal("kv-reserve", 0, MaxReserve, [&](double number) { policy.kvReserve = number; })
            .integer("floor-zones", 1, MaxZones, [&](std::int64_t n) { policy.floorZones = static_cast<int>(n); })
            .rejectUnknownKeys();
    }

    template<typename Map, typename Key, typename Value>
    auto insert(Map &map, const Key &key, const Value &value, const SourceLocation &place, const std::string &what) -> void
    {
        const auto [known, isNew] = map.emplace(key, value);
        // The INI parser has already reported a duplicate section in the same file, but not a version and an adapter of the same name.
        const bool isReported = known->second.location.file == place.file && isSameKind(known->second, value);
        if (!isNew && !isReported) {
            addFinding(place, what + " is declared twice, first in " + known->second.location.file + ":" + std::to_string(known->second.location.line));
        }
    }

    template<typename Value>
    static auto isSameKind(const Value &, const Value &) -> bool
    {
        return true;
    }
    static auto isSameKind(const Artifact &a, const Artifact &b) -> bool
    {
        return a.kind == b.kind;
    }

    auto addFinding(const SourceLocation &place, std::string message) -> void
    {
        m_result.findings.push_back({place, std::move(message)});
    }

    auto serviceOfVersion(const ArtifactName &version) const -> ServiceName
    {
        const auto model = m_result.value.models.find(modelOfVersion(version));
        return model == m_result.value.models.end() ? ServiceName() : model->second.service;
    }

    Checked<Declarations> &m_result;
};

auto sortByPlace(Findings &findings) -> void
{
    std::stable_sort(findings.begin(), findings.end(), [](const Finding &a, const Finding &b) {
        return std::tie(a.location.file, a.location.line) < std::tie(b.location.file, b.location.line);
    });
}

auto readAll(const std::vector<Checked<IniFile>> &files) -> Checked<Declarations>
{
    Checked<Declarations> result;
    DeclarationReader reader(result);
    for (const auto &file : files) {
        result.findings.insert(result.findings.end(), file.findings.begin(), file.findings.end());
        reader.read(file.value);
    }
    reader.link();
    const auto setFindings = checkDeclarations(result.value);
    result.findings.insert(result.findings.end(), setFindings.begin(), setFindings.end());
    sortByPlace(result.findings);
    return result;
}

auto iniFilesOf(const std::string &path) -> std::vector<std::string>
{
    std::error_code error;
    if (!std::filesystem::is_directory(path, error)) {
        return {path};
    }
    std::vector<std::string> files;
    for (const auto &entry : std::filesystem::directory_iterator(path, error)) {
        if (entry.path().extension() == ".ini") {
            files.push_back(entry.path().string());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

auto parseDeclarations(const std::string &path, const std::string &text) -> Checked<Declarations>
{
    return readAll({parseIni(path, text)});
}

auto loadDeclarations(const std::string &path) -> Checked<Declarations>
{
    const auto paths = iniFilesOf(path);
    if (paths.empty()) {
        return {{}, {{{path, 0}, "folder holds no *.ini file"}}};
    }
    std::vector<Checked<IniFile>> files;
    files.reserve(paths.size());
    for (const auto &name : paths) {
        files.push_back(readIniFile(name));
    }
    return readAll(files);
}

} // namespace KingCup
