// Reading headers out of a libwebsockets connection: one way for the server and the client.
#pragma once

#include "net/http.h"

#include <libwebsockets.h>
#include <string>
#include <vector>

namespace KingCup
{

/// A header that libwebsockets knows by number; empty if absent.
auto knownHeader(lws *wsi, lws_token_indexes token) -> std::string;
/// A header by its lower-case name, whether libwebsockets knows it or not; empty if absent.
auto namedHeader(lws *wsi, const std::string &name) -> std::string;
/// Those of `names` that are present.
auto collectHeaders(lws *wsi, const std::vector<std::string> &names) -> HttpHeaders;

} // namespace KingCup
