#include "core/declarations.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

auto smallSet() -> Declarations
{
    Declarations set;
    set.services[ServiceName("advisory")] = Service {.name = ServiceName("advisory")};
    Artifact weights {.name = ArtifactName("sun@1"), .service = ServiceName("advisory"), .size = Bytes::gigabytes(14)};
    set.artifacts[weights.name] = weights;
    Artifact adapter {.name = ArtifactName("austin"), .kind = ArtifactKind::Adapter, .service = ServiceName("advisory")};
    adapter.base = weights.name;
    adapter.size = Bytes::gigabytes(0.3);
    set.artifacts[adapter.name] = adapter;
    set.models["sun"] = Model {.name = "sun", .service = ServiceName("advisory"), .current = weights.name, .versions = {weights.name}};
    return set;
}

} // namespace

TEST_CASE("a valid set has no findings")
{
    REQUIRE(checkDeclarations(smallSet()).empty());
}

TEST_CASE("all findings of a set are reported together, each with its source location")
{
    auto set = smallSet();
    set.artifacts[ArtifactName("austin")].base = ArtifactName("moon@1");
    set.artifacts[ArtifactName("austin")].location = {"models.ini", 12};
    set.models["sun"].current = ArtifactName("sun@2");
    set.models["sun"].location = {"models.ini", 3};
    const auto findings = checkDeclarations(set);
    REQUIRE(findings.size() == 2);
    REQUIRE(toString(findings[0]) == "models.ini:12: artifact austin: unknown base model 'moon@1'");
    REQUIRE(toString(findings[1]) == "models.ini:3: model sun: current version 'sun@2' is not declared");
}

TEST_CASE("a caller names a model, a version or an adapter")
{
    const auto set = smallSet();
    REQUIRE(resolveModel(set, "sun")->artifacts == std::vector {ArtifactName("sun@1")});
    REQUIRE(resolveModel(set, "sun@1")->artifacts == std::vector {ArtifactName("sun@1")});
    REQUIRE(resolveModel(set, "austin")->artifacts == std::vector {ArtifactName("sun@1"), ArtifactName("austin")});
    REQUIRE_FALSE(resolveModel(set, "moon").has_value());
}

TEST_CASE("declarations that arrive by another way than a file are checked as strictly")
{
    // A gRPC call can carry values that the file parser would reject: a name with a slash, a policy of zeros. If adopted, a service of that name
    // could not be called, and the policy would stop all loads.
    auto set = smallSet();
    set.services[ServiceName("a/b")] = Service {.name = ServiceName("a/b")};
    set.services[ServiceName("ledger")]
        = Service {.name = ServiceName("ledger"), .kind = ServiceKind::Plain, .timeBudget = Duration(), .nonIdempotentCalls = {{"POST", "debits"}}};
    set.policy.parallelLoads = 0;
    set.policy.kvReserve = 1.5;
    REQUIRE(checkDeclarations(set).size() == 5);
}
