#include "entry/configsets.h"

#include "core/hashing.h"

namespace KingCup
{

namespace
{

constexpr auto ObjectPrefix = "object:"; // marks a reference; a set's text is JSON and begins with a brace
constexpr auto KeyPrefix = "config/sets/";
constexpr auto FetchDeadline = Duration::seconds(5);

auto objectKey(const std::string &text) -> std::string
{
    return KeyPrefix + std::to_string(stableHash(text)) + "-" + std::to_string(text.size());
}

} // namespace

ConfigSets::ConfigSets(ObjectClient *objects, std::size_t inlineLimit)
    : m_objects(objects)
    , m_inlineLimit(inlineLimit)
{
}

auto ConfigSets::store(const std::string &text, const Done &done) const -> void
{
    if (m_objects == nullptr || text.size() <= m_inlineLimit) {
        done(text);
        return;
    }
    const auto key = objectKey(text);
    m_objects->put(key, text, PutCondition {}, [key, done](const Result<std::string> &etag) {
        if (etag) {
            done(ObjectPrefix + key);
        } else {
            done(etag.error());
        }
    });
}

auto ConfigSets::fetch(const std::string &row, const Done &done) const -> void
{
    if (!row.starts_with(ObjectPrefix)) {
        done(row);
        return;
    }
    if (m_objects == nullptr) {
        done(Error {ErrorCode::Unavailable, "no object store is set"});
        return;
    }
    const auto key = row.substr(std::string(ObjectPrefix).size());
    m_objects->get(key, FetchDeadline, [key, done](const Result<StoredObject> &object) {
        if (!object) {
            done(object.error());
        } else if (objectKey(object.value().body) != key) {
            // A truncated set might still parse, and the models missing from it would be unloaded everywhere.
            done(Error {ErrorCode::InvalidInput, "object " + key + " has other contents"});
        } else {
            done(object.value().body);
        }
    });
}

} // namespace KingCup
