#include "commands.h"

namespace KingCup
{

auto commands() -> const std::vector<Command> &
{
    static const std::vector<Command> All {
        {"apply", "FOLDER", 1, true, "bring the declarations of a folder into force", runApply},
        {"diff", "FOLDER", 1, true, "show what apply would change; exit code 1 if anything", runDiff},
        {"check", "FOLDER", 1, false, "list everything that is wrong with a folder's declarations", runCheck},
        {"get", "", 0, true, "show the declarations in force", runGet},
        {"status", "", 0, true, "show processes, copies and the revision in force", runStatus},
        {"watch", "", 0, true, "show the status whenever it changes", runWatch},
        {"drain", "TARGET", 1, true, "let a target finish its work and give it no new one", runDrain},
        {"explain", "SUBJECT", 1, true, "show recent decisions about a request, a model or a target; with --log: a request's lines", runExplain},
        {"completion", "", 0, false, "print completion for bash", runCompletion},
        {"help", "", 0, false, "show this help", runHelp},
    };
    return All;
}

} // namespace KingCup
