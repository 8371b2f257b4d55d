#include "settings/inifile.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <iterator>
#include <sstream>

namespace KingCup
{

namespace
{

// This key is inserted after each heading, because inih doesn't report sections without keys.
constexpr auto SectionMarker = "kingcup-section=";
constexpr auto SectionMarkerKey = "kingcup-section";
// inih silently truncates section names to this length.
constexpr std::size_t MaxSectionName = 49;

/// Passes inih one line at a time, because inih reports only the first faulty line of its input.
class LineParser
{
public:
    explicit LineParser(IniFile &file, Findings &findings)
        : m_file(file)
        , m_findings(findings)
    {
    }

    auto parse(const std::string &line, int number) -> void
    {
        m_number = number;
        m_tooLong = false;
        m_isHeading = false;
        m_isNameless = false;
        const auto first = line.find_first_not_of(" \t\r");
        if (first == std::string::npos) {
            return;
        }
        m_pending = {line.substr(first)};
        if (line[first] == '[') {
            m_isHeading = true;
            m_pending.insert(m_pending.begin(), SectionMarker);
        }
        const int errorLine = ini_parse_stream(&LineParser::read, this, &LineParser::handle, this);
        if (m_tooLong) {
            addFinding("line is too long");
        } else if (errorLine != 0) {
            addFinding(m_isHeading ? "section heading without closing bracket" : "neither a section, a key with a value, nor a comment");
        } else if (m_isNameless) {
            addFinding("section without a name");
        }
    }

private:
    static auto read(char *buffer, int size, void *self) -> char *
    {
        auto &parser = *static_cast<LineParser *>(self);
        if (parser.m_pending.empty()) {
            return nullptr;
        }
        const auto line = parser.m_pending.back();
        parser.m_pending.pop_back();
        // The buffer must hold the terminating zero and one byte more: inih treats a line that fills it as incomplete.
        if (line.size() + 2 > static_cast<std::size_t>(size)) {
            parser.m_tooLong = true;
            return nullptr;
        }
        std::memcpy(buffer, line.c_str(), line.size() + 1);
        return buffer;
    }

    static auto handle(void *self, const char *section, const char *key, const char *value) -> int
    {
        auto &parser = *static_cast<LineParser *>(self);
        if (parser.m_isHeading) {
            parser.addSection(section);
        } else {
            parser.addValue(key, value);
        }
        return 1;
    }

    auto addSection(const std::string &name) -> void
    {
        m_isNameless = name.empty();
        if (m_isNameless) {
            return;
        }
        if (name.size() >= MaxSectionName) {
            addFinding("section name is too long");
            return;
        }
        const auto duplicate = std::find_if(m_file.sections.begin(), m_file.sections.end(), [&](const IniSection &known) { return known.name == name; });
        if (duplicate != m_file.sections.end()) {
            addFinding("section [" + name + "] stands twice, first in line " + std::to_string(duplicate->line));
        }
        m_file.sections.push_back({name, m_number, {}});
    }

    auto addValue(const std::string &key, const std::string &value) -> void
    {
        if (key.empty()) {
            addFinding("value without a key");
            return;
        }
        if (m_file.sections.empty()) {
            addFinding("key '" + key + "' stands before any section");
            return;
        }
        auto &values = m_file.sections.back().values;
        const auto duplicate = std::find_if(values.begin(), values.end(), [&](const IniValue &known) { return known.key == key; });
        if (duplicate != values.end()) {
            addFinding("key '" + key + "' stands twice, first in line " + std::to_string(duplicate->line));
            return;
        }
        values.push_back({key, value, m_number});
    }

    auto addFinding(std::string message) -> void
    {
        m_findings.push_back({{m_file.path, m_number}, std::move(message)});
    }

    IniFile &m_file;
    Findings &m_findings;
    std::vector<std::string> m_pending; ///< lines to pass to inih, in reverse order
    int m_number = 0;
    bool m_tooLong = false;
    bool m_isHeading = false;
    bool m_isNameless = false;
};

} // namespace

auto parseIni(const std::string &path, const std::string &text) -> Checked<IniFile>
{
    Checked<IniFile> result;
    result.value.path = path;
    LineParser parser(result.value, result.findings);
    std::istringstream stream(text);
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
        parser.parse(line, number);
    }
    return result;
}

auto readTextFile(const std::string &path) -> std::optional<std::string>
{
    std::ifstream stream(path);
    std::string text(std::istreambuf_iterator<char>(stream), {});
    if (!stream.is_open() || stream.bad()) {
        return std::nullopt;
    }
    return text;
}

auto readIniFile(const std::string &path) -> Checked<IniFile>
{
    const auto text = readTextFile(path);
    if (!text) {
        return {{.path = path, .sections = {}}, {{{path, 0}, "file can't be read"}}};
    }
    return parseIni(path, *text);
}

} // namespace KingCup
