// What a stand-in engine generates: a function of the artifact, the prompt and the token's place alone.
#pragma once

#include <string>

namespace KingCup
{

/// The text of one generated token: "INDEX:HASH ", the hash being of artifact, prompt and index.
auto tokenText(const std::string &artifact, const std::string &prompt, int index) -> std::string;

} // namespace KingCup
