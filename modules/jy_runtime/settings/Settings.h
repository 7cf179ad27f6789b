#pragma once

#include "jy_base/errors/Error.h"
#include "jy_runtime/settings/SettingsPrinter.h"
#include "jy_runtime/settings/SettingsReader.h"
#include "jy_runtime/settings/SettingsReference.h"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace jy {

/** Reads a whole text file. @returns SettingsInvalid with the file and the system's reason. */
Result<std::string> readTextFile(const std::string &file);

/**
 * Parses JSON with comments and trailing commas.
 *
 * @param file name for the error
 * @returns SettingsInvalid with "file:line:column: reason"
 */
Result<boost::json::value> parseJsonWithComments(const std::string &file, std::string_view text);

/** JSON with one entry per line, two spaces of indentation and a final line feed. */
std::string prettyJson(const boost::json::value &value);

/** Fails with all errors, one per line. */
Result<void> settingsResult(const std::vector<std::string> &errors);

/**
 * Reads a settings structure; @see SettingsVisitor for its describe() function.
 *
 * @returns SettingsInvalid with one line per error, each naming the file, the path of the key, the
 *          value and what is allowed
 */
template <class Structure>
Result<Structure> parseSettings(const std::string &file, std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parseJsonWithComments(file, text));
    std::vector<std::string> errors;
    Structure settings;
    if (const auto *root = document.if_object()) {
        SettingsReader reader(file, {}, *root, errors);
        settings.describe(reader);
        reader.reportUnknownKeys();
    } else {
        errors.push_back(file + ": the file must hold one object");
    }
    BOOST_OUTCOME_TRYV(settingsResult(errors));
    return settings;
}

/** parseSettings() on the content of a file. */
template <class Structure>
Result<Structure> loadSettings(const std::string &file)
{
    BOOST_OUTCOME_TRY(const auto text, readTextFile(file));
    return parseSettings<Structure>(file, text);
}

/** All values including defaults as JSON; secrets are hidden. */
template <class Structure>
std::string effectiveSettings(Structure settings)
{
    SettingsPrinter printer;
    settings.describe(printer);
    return prettyJson(printer.result());
}

/** A Markdown table of all keys. */
template <class Structure>
std::string settingsTable()
{
    Structure defaults;
    SettingsReference reference;
    defaults.describe(reference);
    return "| Key | Allowed | Default | Meaning |\n|---|---|---|---|\n" + reference.rows();
}

} // namespace jy
