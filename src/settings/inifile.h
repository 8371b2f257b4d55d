// INI files with the line of every section and key, parsed by inih. All syntax errors of a file are reported together.
//
// Lines starting with ';' or '#' are comments, as is what follows " ;" in a line. A line goes on to its end: there are no
// continuation lines. A section or a key that stands twice is a finding, as is a line that is longer than inih can hold:
// cut silently, the rest of a long list would be lost.
#pragma once

#include "core/finding.h"

#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

struct IniValue {
    std::string key;
    std::string value; ///< without surrounding blanks
    int line = 0; ///< counted from 1
};

struct IniSection {
    std::string name; ///< what stands between the brackets
    int line = 0; ///< of its heading
    std::vector<IniValue> values; ///< in the file's order
};

struct IniFile {
    std::string path; ///< as given, for places of findings
    std::vector<IniSection> sections; ///< in the file's order
};

/// Parses a file's text; `path` is only used in findings.
auto parseIni(const std::string &path, const std::string &text) -> Checked<IniFile>;

/// The whole text of a file; nothing if it can't be read.
auto readTextFile(const std::string &path) -> std::optional<std::string>;

/// Reads and parses a file. A file that can't be read is a finding.
auto readIniFile(const std::string &path) -> Checked<IniFile>;

} // namespace KingCup
