#include "link/caller/ReadAnalysis.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QSet>
#include <QString>
#include <QStringList>
#include <functional>

namespace coralhoist::caller {
namespace {

using NameSet = QSet<QString>;

/** Aggregates and window functions. */
constexpr const char* kAggregateFunctions =
    "count sum avg min max array_agg string_agg bool_and bool_or every json_agg jsonb_agg "
    "json_object_agg jsonb_object_agg stddev stddev_pop stddev_samp variance var_pop "
    "var_samp corr covar_pop covar_samp percentile_cont percentile_disc mode row_number "
    "rank dense_rank percent_rank cume_dist ntile lag lead first_value last_value "
    "nth_value bit_and bit_or bit_xor range_agg any_value";

/** Text. */
constexpr const char* kTextFunctions =
    "lower upper initcap length char_length character_length octet_length bit_length "
    "substr substring left right trim btrim ltrim rtrim lpad rpad replace translate "
    "reverse repeat concat concat_ws split_part string_to_array array_to_string position "
    "strpos starts_with overlay format quote_ident quote_literal quote_nullable "
    "regexp_replace regexp_match regexp_matches regexp_split_to_array "
    "regexp_split_to_table regexp_count regexp_instr regexp_like regexp_substr ascii chr "
    "md5 sha224 sha256 sha384 sha512 encode decode to_hex normalize convert_from "
    "convert_to like_escape similar_to_escape string_to_table";

/** Numbers. */
constexpr const char* kNumberFunctions =
    "abs ceil ceiling floor round trunc sign mod div power pow sqrt cbrt exp ln log log10 "
    "gcd lcm pi degrees radians sin cos tan asin acos atan atan2 width_bucket scale "
    "min_scale trim_scale factorial greatest least numeric int4 int8 float8";

/** Date and time: stable, or constant within a transaction. */
constexpr const char* kTimeFunctions =
    "now transaction_timestamp statement_timestamp date_part date_trunc date_bin extract "
    "age make_date make_time make_timestamp make_timestamptz make_interval to_char "
    "to_date to_number to_timestamp justify_days justify_hours justify_interval isfinite "
    "timezone overlaps";

/** Arrays, JSON, ranges, sets. */
constexpr const char* kStructureFunctions =
    "array_length array_lower array_upper array_ndims array_dims array_append "
    "array_prepend array_cat array_remove array_replace array_position array_positions "
    "cardinality unnest generate_series generate_subscripts trim_array array_fill to_json "
    "to_jsonb row_to_json array_to_json json_build_object jsonb_build_object "
    "json_build_array jsonb_build_array json_object jsonb_object json_array_length "
    "jsonb_array_length json_array_elements jsonb_array_elements json_array_elements_text "
    "jsonb_array_elements_text json_each jsonb_each json_each_text jsonb_each_text "
    "json_object_keys jsonb_object_keys json_extract_path jsonb_extract_path "
    "json_extract_path_text jsonb_extract_path_text json_typeof jsonb_typeof jsonb_set "
    "jsonb_insert jsonb_pretty jsonb_path_query jsonb_path_query_array "
    "jsonb_path_query_first jsonb_path_exists jsonb_path_match json_strip_nulls "
    "jsonb_strip_nulls json_to_record jsonb_to_record json_to_recordset "
    "jsonb_to_recordset json_populate_record jsonb_populate_record "
    "json_populate_recordset jsonb_populate_recordset lower_inc upper_inc lower_inf "
    "upper_inf isempty int4range int8range numrange tsrange tstzrange daterange "
    "range_merge";

/** Text search. */
constexpr const char* kTextSearchFunctions =
    "to_tsvector to_tsquery plainto_tsquery phraseto_tsquery websearch_to_tsquery ts_rank "
    "ts_rank_cd ts_headline setweight strip numnode querytree";

/** Conditions. */
constexpr const char* kConditionFunctions = "coalesce nullif num_nulls num_nonnulls";

/** Catalogue and server information. */
constexpr const char* kCatalogueFunctions =
    "version current_database current_schema current_schemas current_setting pg_typeof "
    "format_type pg_get_constraintdef pg_get_indexdef pg_get_viewdef pg_get_expr "
    "pg_get_functiondef pg_get_function_result pg_get_function_arguments "
    "pg_get_function_identity_arguments pg_get_userbyid pg_get_triggerdef pg_get_ruledef "
    "pg_get_serial_sequence pg_get_partkeydef pg_get_statisticsobjdef_columns "
    "pg_encoding_to_char pg_table_is_visible pg_type_is_visible pg_function_is_visible "
    "pg_operator_is_visible pg_opclass_is_visible pg_collation_is_visible "
    "pg_ts_config_is_visible obj_description col_description shobj_description "
    "to_regclass to_regtype to_regproc has_table_privilege has_schema_privilege "
    "has_database_privilege has_column_privilege pg_has_role pg_size_pretty "
    "pg_relation_size pg_total_relation_size pg_table_size pg_indexes_size "
    "pg_database_size array_to_tsvector   "
    " pg_relation_is_publishable pg_tablespace_location "
    "pg_char_to_encoding";

/**
 * Not pure, but without effect on data or on a pooled connection: pg_advisory_unlock_all is called
 * by drivers that reset a session, which holds no such lock here; pg_sleep only waits.
 */
constexpr const char* kHarmlessFunctions = "pg_advisory_unlock_all pg_sleep";

/** @return the words of all lists. */
NameSet namesOf(const QStringList& lists) {
    const QStringList words = lists.join(' ').split(' ', Qt::SkipEmptyParts);
    return {words.begin(), words.end()};
}

/** Node types that a query may consist of without changing anything. */
const NameSet& readOnlyNodes() {
    static const NameSet names =
        namesOf({"SelectStmt ResTarget ColumnRef A_Star String Integer Float Boolean BitString "
                 "A_Const A_Expr FuncCall TypeCast TypeName RangeVar RangeSubselect RangeFunction "
                 "RangeTableSample JoinExpr Alias BoolExpr NullTest BooleanTest CaseExpr CaseWhen "
                 "CoalesceExpr MinMaxExpr SubLink SortBy WindowDef WithClause CommonTableExpr List "
                 "ParamRef SQLValueFunction A_ArrayExpr A_Indirection A_Indices RowExpr "
                 "GroupingSet GroupingFunc CollateClause NamedArgExpr ColumnDef SetToDefault "
                 "CTESearchClause CTECycleClause"});
    return names;
}

/** Built-in functions that are immutable or stable and take no lock. */
const NameSet& readOnlyFunctions() {
    static const NameSet names = namesOf(
        {kAggregateFunctions, kTextFunctions, kNumberFunctions, kTimeFunctions, kStructureFunctions,
         kTextSearchFunctions, kConditionFunctions, kCatalogueFunctions, kHarmlessFunctions});
    return names;
}

/** Functions that take an advisory lock which outlives the transaction. */
const NameSet& sessionLockFunctions() {
    static const NameSet names =
        namesOf({"pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock "
                 "pg_try_advisory_lock_shared pg_advisory_unlock pg_advisory_unlock_shared"});
    return names;
}

/** Functions that leave other state behind on the connection. */
const NameSet& sessionStateFunctions() {
    static const NameSet names = namesOf({"set_config dblink_connect dblink_disconnect setseed"});
    return names;
}

bool isNodeType(const QString& key) {
    return !key.isEmpty() && key.front().isUpper();
}

/** @return the function's name, without "pg_catalog"; empty when it lives in another schema. */
QString builtinName(const QJsonObject& call) {
    const QJsonArray parts = call.value("funcname").toArray();
    const auto part = [&parts](qsizetype index) {
        return parts.at(index).toObject().value("String").toObject().value("sval").toString();
    };
    if (parts.size() == 1) {
        return part(0);
    }
    if (parts.size() == 2 && part(0) == "pg_catalog") {
        return part(1);
    }
    return {};
}

/** An operator with a schema may be anyone's. */
bool hasQualifiedOperator(const QJsonObject& expression) {
    return expression.value("name").toArray().size() > 1 &&
           expression.value("kind").toString().startsWith("AEXPR_OP");
}

bool isHarmlessNode(const QString& type, const QJsonObject& node) {
    if (!readOnlyNodes().contains(type)) {
        return false;
    }
    if (type == "FuncCall") {
        return readOnlyFunctions().contains(builtinName(node));
    }
    return type != "A_Expr" || !hasQualifiedOperator(node);
}

/** Depth is bounded by the JSON reader's nesting limit. */
bool anyFunction(const QJsonValue& value, const std::function<bool(const QString&)>& predicate) {
    if (value.isArray()) {
        const QJsonArray array = value.toArray();
        for (const auto& element : array) {
            if (anyFunction(element, predicate)) {
                return true;
            }
        }
        return false;
    }
    const QJsonObject object = value.toObject();
    for (auto entry = object.constBegin(); entry != object.constEnd(); ++entry) {
        if (entry.key() == "FuncCall" && predicate(builtinName(entry.value().toObject()))) {
            return true;
        }
        if (anyFunction(entry.value(), predicate)) {
            return true;
        }
    }
    return false;
}

}  // namespace

bool onlyReads(const QJsonValue& node) {
    if (node.isArray()) {
        const QJsonArray array = node.toArray();
        for (const auto& element : array) {
            if (!onlyReads(element)) {
                return false;
            }
        }
        return true;
    }
    const QJsonObject object = node.toObject();
    for (auto entry = object.constBegin(); entry != object.constEnd(); ++entry) {
        if (entry.key() == "intoClause" || entry.key() == "lockingClause") {
            return false;
        }
        if (isNodeType(entry.key()) && !isHarmlessNode(entry.key(), entry.value().toObject())) {
            return false;
        }
        if (!onlyReads(entry.value())) {
            return false;
        }
    }
    return true;
}

bool callsSessionFunction(const QJsonValue& node) {
    return anyFunction(node,
                       [](const QString& name) { return sessionStateFunctions().contains(name); });
}

bool takesSessionLock(const QJsonValue& node) {
    return anyFunction(node,
                       [](const QString& name) { return sessionLockFunctions().contains(name); });
}

}  // namespace coralhoist::caller
