// Reads headers from a libwebsockets connection; used by the HTTP server and the client.
#pragma once

#include "net/http.h"

#include <libwebsockets.h>
#include <string>
#include <vector>

namespace KingCup
{

/// The value of a header that libwebsockets knows by token; empty if absent.
auto knownHeader(lws *wsi, lws_token_indexes token) -> std::string;
/// The value of a header by its lower-case name, whether libwebsockets has a token for it or not; empty if absent.
auto namedHeader(lws *wsi, const std::string &name) -> std::string;
/// The headers among `names` that are present.
auto collectHeaders(lws *wsi, const std::vector<std::string> &names) -> HttpHeaders;

} // namespace KingCup
