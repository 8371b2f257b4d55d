// Findings: the errors in an input, each with its source location. A check collects all of them and reports them together,
// so that an operator can correct a file in one pass.
#pragma once

#include <string>
#include <vector>

namespace KingCup
{

/// A position in the operator's files. Line 0 means the file as a whole; an empty file name means that there is no file.
struct SourceLocation {
    std::string file; ///< path as the operator gave it
    int line = 0; ///< counted from 1

    auto operator==(const SourceLocation &) const -> bool = default;
};

/// One error in the input.
struct Finding {
    SourceLocation location;
    std::string message; ///< one short sentence, naming the key or value
};

using Findings = std::vector<Finding>;

/// The result of reading an input: the parsed value and all findings. Use the value only if there are no findings.
template<typename T>
struct Checked {
    T value;
    Findings findings;

    auto isValid() const -> bool
    {
        return findings.empty();
    }
};

/// "file:line: message", as compilers print it; only the message if there is no file.
auto toString(const Finding &finding) -> std::string;

} // namespace KingCup
