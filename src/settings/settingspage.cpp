// Documentation of the settings, generated from the table of keys: a commented settings file and docs/SETTINGS.md.
#include "settings/daemonsettings.h"

#include <sstream>

namespace KingCup
{

namespace
{

auto typeText(const SettingDescription &key) -> std::string
{
    std::string text = key.type;
    if (!key.unit.empty()) {
        text += " in " + key.unit;
    }
    if (!key.range.empty()) {
        text += ": " + key.range;
    }
    return text;
}

} // namespace

auto commentedSettings() -> std::string
{
    std::ostringstream text;
    text << "; Settings of kingcupd. Keys that are commented out have no default.\n";
    std::string section;
    for (const auto &key : settingDescriptions()) {
        if (key.section != section) {
            section = key.section;
            text << "\n[" << section << "]\n";
        }
        text << "; " << key.meaning << " (" << typeText(key) << ")\n";
        if (key.defaultValue.empty()) {
            text << ";" << key.key << " =\n";
        } else {
            text << key.key << " = " << key.defaultValue << "\n";
        }
    }
    return text.str();
}

auto settingsPage() -> std::string
{
    std::ostringstream text;
    text << "# Settings of kingcupd\n\n"
         << "One INI file per process, named with `kingcupd --settings FILE` and read once at the start. `kingcupd --check-settings`\n"
         << "lists everything that is wrong with a file, with lines; `kingcupd --print-settings` writes a commented file with all\n"
         << "defaults. Unknown keys are refused. `kingcupd --print-settings-page` writes this page from the table in\n"
         << "`src/settings/daemonsettings.cpp`; a test checks that it is current.\n";
    std::string section;
    for (const auto &key : settingDescriptions()) {
        if (key.section != section) {
            section = key.section;
            text << "\n## [" << section << "]\n\n| key | type and range | default | meaning |\n| --- | --- | --- | --- |\n";
        }
        text << "| `" << key.key << "` | " << typeText(key) << " | " << (key.defaultValue.empty() ? "none" : "`" + key.defaultValue + "`") << " | "
             << key.meaning << " |\n";
    }
    return text.str();
}

} // namespace KingCup
