#include "table/tablepublication.h"

#include <algorithm>
#include <utility>

#include "table/tablebuilder.h"
#include "table/tablecolumns.h"
#include "table/tableeditor.h"
#include "table/tableheadreader.h"
#include "table/tableorder.h"
#include "table/tableparser.h"

namespace Egretpath
{

namespace
{

std::size_t partOf(std::string_view service, std::size_t partCount)
{
    return stableHash(service) % partCount;
}

std::vector<std::string> partTexts(const std::vector<TableRow> &rows, std::size_t partCount)
{
    std::vector<std::string> texts(partCount, canonicalHeader() + "\n");
    for (const TableRow &row : rows) {
        texts[partOf(row.keyView().service, partCount)].append(row.canonicalText()).append("\n");
    }
    return texts;
}

bool fit(const std::vector<std::string> &texts)
{
    return std::all_of(texts.begin(), texts.end(),
                       [](const std::string &text) { return text.size() <= TablePublication::ValueCap; });
}

SplitTable makeSplit(const TableVersion &version, std::vector<std::string> texts)
{
    SplitTable split{{version, {}}, {}};
    for (std::string &text : texts) {
        const Digest digest = digestOf(text);
        split.head.parts.push_back(digest);
        split.parts.emplace(digest, std::move(text));
    }
    return split;
}

std::vector<Digest> uniqueParts(const TableHead &head)
{
    std::vector<Digest> digests = head.parts;
    std::sort(digests.begin(), digests.end());
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    return digests;
}

/// For each part whether @p head lists another digest for it than @p base. Preconditions: as many parts in both.
std::vector<bool> changedIndexes(const TableHead &base, const TableHead &head)
{
    std::vector<bool> changed(head.parts.size());
    for (std::size_t index = 0; index < changed.size(); ++index) {
        changed[index] = base.parts[index] != head.parts[index];
    }
    return changed;
}

/// The keys of all rows of @p table in the parts that are @p chosen.
std::vector<TableRowKey> keysInParts(const Table &table, const std::vector<bool> &chosen)
{
    std::vector<TableRowKey> keys;
    const auto append = [&keys, &chosen](const auto &policies) {
        for (const auto &policy : policies) {
            if (chosen[partOf(orderOf(policy).service, chosen.size())]) {
                keys.push_back(TableRow(policy).key());
            }
        }
    };
    append(table.services());
    append(table.regions());
    append(table.spills());
    append(table.upstreams());
    return keys;
}

void readPart(TableBuilder &builder, const TableParts &parts, const Digest &digest, const std::string &key)
{
    const auto part = parts.find(digest);
    if (part == parts.end()) {
        builder.addProblem({key, 0, {}, "missing", "the part that the head lists"});
        return;
    }
    const Digest found = digestOf(part->second);
    if (found != digest) {
        builder.addProblem({key, 0, {}, "content with digest " + toHex(found), "content with the digest in the key"});
        return;
    }
    TableParser::parseInto(builder, part->second, key);
}

/// Takes the keys of @p rows out of @p keys: these rows are replaced and not removed.
void eraseKeysOf(const std::vector<TableRow> &rows, std::vector<TableRowKey> &keys)
{
    std::vector<TableRowKeyView> kept;
    kept.reserve(rows.size());
    for (const TableRow &row : rows) {
        kept.push_back(row.keyView());
    }
    std::sort(kept.begin(), kept.end());
    std::erase_if(
        keys, [&kept](const TableRowKey &key) { return std::binary_search(kept.begin(), kept.end(), viewOf(key)); });
}

/// Refuses a table that isn't the one that @p head announces.
TableResult<TablePointer> checked(TableResult<TablePointer> table, const TableHead &head, const std::string &source)
{
    if (table && table.value()->version() != head.version) {
        return TableProblems{
            {source, 0, {}, "digest " + toHex(head.version.digest), "digest " + toHex(table.value()->digest())}};
    }
    return table;
}

}

std::string TablePublication::headKey(std::string_view prefix)
{
    return std::string(prefix) + "/head";
}

std::string TablePublication::partKey(std::string_view prefix, const Digest &part)
{
    return std::string(prefix) + "/part/" + toHex(part);
}

TableResult<SplitTable> TablePublication::split(const Table &table)
{
    const std::vector<TableRow> rows = table.rows();
    for (std::size_t partCount = DefaultPartCount; partCount <= PartCountCap; partCount *= 2) {
        std::vector<std::string> texts = partTexts(rows, partCount);
        if (fit(texts)) {
            return makeSplit(table.version(), std::move(texts));
        }
    }
    return TableProblems{{"table " + toString(table.version()),
                          0,
                          {},
                          "a service too large for one part",
                          "rows of one service of at most " + std::to_string(ValueCap) + " bytes in all"}};
}

std::string TablePublication::printHead(const TableHead &head)
{
    return toString(head);
}

TableResult<TableHead> TablePublication::parseHead(std::string_view text, std::string_view source)
{
    return TableHeadReader(text, source).read();
}

std::vector<Digest> TablePublication::missingParts(const TableHead &head, const TableParts &held)
{
    std::vector<Digest> missing = uniqueParts(head);
    missing.erase(
        std::remove_if(missing.begin(), missing.end(), [&held](const Digest &digest) { return held.contains(digest); }),
        missing.end());
    return missing;
}

TableResult<TablePointer> TablePublication::assemble(const TableHead &head, const TableParts &parts,
                                                     std::string_view prefix)
{
    TableBuilder builder;
    for (const Digest &digest : uniqueParts(head)) {
        readPart(builder, parts, digest, partKey(prefix, digest));
    }
    const std::string source = headKey(prefix);
    return checked(builder.build(head.version.number, source), head, source);
}

std::vector<Digest> TablePublication::changedParts(const TableHead &base, const TableHead &head)
{
    if (base.parts.size() != head.parts.size()) {
        return uniqueParts(head);
    }
    std::vector<Digest> digests;
    for (std::size_t index = 0; index < head.parts.size(); ++index) {
        if (base.parts[index] != head.parts[index]) {
            digests.push_back(head.parts[index]);
        }
    }
    std::sort(digests.begin(), digests.end());
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    return digests;
}

TableResult<TablePointer> TablePublication::update(const Table &base, const TableHead &baseHead, const TableHead &head,
                                                   const TableParts &parts, std::string_view prefix)
{
    const std::string source = headKey(prefix);
    if (base.version() != baseHead.version) {
        return TableProblems{{source, 0, {}, "base " + toString(base.version()), "base " + toString(baseHead.version)}};
    }
    if (baseHead.parts.size() != head.parts.size()) {
        return assemble(head, parts, prefix);
    }
    TableBuilder builder;
    for (const Digest &digest : changedParts(baseHead, head)) {
        readPart(builder, parts, digest, partKey(prefix, digest));
    }
    auto rows = builder.takeRows(source);
    if (!rows) {
        return rows.error();
    }
    std::vector<TableRowKey> removed = keysInParts(base, changedIndexes(baseHead, head));
    eraseKeysOf(rows.value(), removed);
    return checked(TableEditor::edit(base, rows.value(), removed, head.version.number, source), head, source);
}

}
