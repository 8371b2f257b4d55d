// INI files with the line of every section and key, parsed by inih. All syntax errors of a file are reported together.
//
// Lines starting with ';' or '#' are comments, as is the rest of a line after " ;". There are no continuation lines. A duplicate
// section or key is a finding. So is a line that exceeds inih's buffer, since inih would silently drop the end of a long list.
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
    std::string name; ///< text between the brackets
    int line = 0; ///< of the heading; counted from 1
    std::vector<IniValue> values; ///< in file order
};

struct IniFile {
    std::string path; ///< as given by the caller; used in findings
    std::vector<IniSection> sections; ///< in file order
};

/// Parses a file's text; `path` is only used in findings.
auto parseIni(const std::string &path, const std::string &text) -> Checked<IniFile>;

/// The contents of a file; none if it can't be read.
auto readTextFile(const std::string &path) -> std::optional<std::string>;

/// Reads and parses a file. An unreadable file is a finding.
auto readIniFile(const std::string &path) -> Checked<IniFile>;

} // namespace KingCup
