// Findings: what is wrong with an input, each with its place. A check collects all of them and reports them together,
// so that an operator mends a file once and not once per mistake.
#pragma once

#include <string>
#include <vector>

namespace KingCup
{

/// Where in the operator's files something stands. line 0 means the file as a whole; an empty file means "no file".
struct SourceLocation {
    std::string file; ///< path as the operator gave it
    int line = 0; ///< counted from 1

    auto operator==(const SourceLocation &) const -> bool = default;
};

/// One thing that is wrong.
struct Finding {
    SourceLocation location;
    std::string message; ///< one short sentence, naming the key or value
};

using Findings = std::vector<Finding>;

/// What could be read of an input, and everything that is wrong with it. The value is only to be used if there are no findings.
template<typename T>
struct Checked {
    T value;
    Findings findings;

    auto isValid() const -> bool
    {
        return findings.empty();
    }
};

/// "file:line: message", as compilers print it.
auto toString(const Finding &finding) -> std::string;

} // namespace KingCup
