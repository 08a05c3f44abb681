#include "database_instance.hpp"

#include <algorithm>

namespace masticgrade::standins {

namespace json = boost::json;

namespace {

reply error_reply(const std::string& reason) { return {"error", {{"reason", reason}}}; }

constexpr std::pair<entry_kind, const char*> kind_names[] = {
    {entry_kind::start, "start"}, {entry_kind::write, "write"}, {entry_kind::cancel, "cancel"}};

const char* name_of(entry_kind kind) {
    return std::ranges::find(kind_names, kind, &std::pair<entry_kind, const char*>::first)->second;
}

entry_kind kind_from(std::string_view name) {
    for (const auto& [kind, text] : kind_names) {
        if (name == text) {
            return kind;
        }
    }
    throw std::invalid_argument("unknown kind of log entry");
}

}  // namespace

json::object to_json(const log_entry& entry) {
    return {{"term", entry.term},
            {"position", entry.position},
            {"kind", name_of(entry.kind)},
            {"customer", entry.customer},
            {"idempotency_key", entry.idempotency_key},
            {"statements", entry.statements},
            {"result", entry.result}};
}

log_entry log_entry_from_json(const json::value& value) {
    const auto& fields = value.as_object();
    return {.term = fields.at("term").to_number<std::uint64_t>(),
            .position = fields.at("position").to_number<std::uint64_t>(),
            .kind = kind_from(fields.at("kind").as_string()),
            .customer = std::string(fields.at("customer").as_string()),
            .idempotency_key = std::string(fields.at("idempotency_key").as_string()),
            .statements = fields.at("statements").as_array(),
            .result = fields.at("result")};
}

database_instance::database_instance(instance_role role, std::uint64_t term,
                                     std::string primary_address)
    : role_(role), term_(term), primary_address_(std::move(primary_address)) {
    if (role_ == instance_role::primary) {
        start_position_ = append({.term = term_, .kind = entry_kind::start});
    }
}

std::uint64_t database_instance::last_term() const noexcept {
    return log_.empty() ? 0 : log_.back().entry.term;
}

std::uint64_t database_instance::received_position() const noexcept {
    return role_ == instance_role::replica ? matched_ : log_.size();
}

std::uint64_t database_instance::term_at(std::uint64_t position) const {
    return position == 0 ? 0 : log_[position - 1].entry.term;
}

std::optional<milliseconds> database_instance::staleness(time_point now) const {
    if (role_ == instance_role::primary) {
        return milliseconds{0};
    }
    if (!current_as_of_) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(std::max(duration::zero(), now - *current_as_of_));
}

json::array database_instance::dump() const {
    json::array entries;
    for (std::uint64_t i = 0; i < applied_; ++i) {
        entries.push_back(to_json(log_[i].entry));
    }
    return entries;
}

std::optional<reply> database_instance::refuse_unless_primary(std::uint64_t term) const {
    if (term < term_) {
        return reply{"stale_term", {}};
    }
    if (term > term_ || role_ != instance_role::primary) {
        return reply{"not_primary", {}};
    }
    return std::nullopt;
}

const database_instance::record* database_instance::find_record(const std::string& customer,
                                                                const std::string& key) const {
    if (key.empty()) {
        return nullptr;
    }
    const auto found = records_.find({customer, key});
    return found == records_.end() ? nullptr : &found->second;
}

reply database_instance::replay(const record& found) {
    if (found.cancelled) {
        return {"cancelled", {{"position", found.position}}};
    }
    return {"ok", {{"result", found.result}, {"position", found.position}, {"replayed", true}}};
}

reply database_instance::write(std::uint64_t term, const std::string& customer,
                               const std::string& key, const json::value& statement) {
    if (auto refusal = refuse_unless_primary(term)) {
        return std::move(*refusal);
    }
    if (const auto* found = find_record(customer, key)) {
        return replay(*found);
    }
    try {
        json::array statements;
        if (is_write_statement(statement)) {
            statements.push_back(statement);
        }
        auto result = transaction_view(rows_).run(statement, customer);
        const auto position = append({.term = term_,
                                      .customer = customer,
                                      .idempotency_key = key,
                                      .statements = std::move(statements),
                                      .result = result});
        return {"ok", {{"result", result}, {"position", position}, {"replayed", false}}};
    } catch (const statement_error& failure) {
        return error_reply(failure.what());
    }
}

reply database_instance::read(std::uint64_t term, std::uint64_t min_position,
                              const json::value& statement, const std::string& customer) const {
    if (term < term_) {
        return {"stale_term", {}};
    }
    // Until its log is known to match that of the term's primary, an instance may hold entries
    // that the primary lacks, so its positions say nothing.
    const bool matches_primary = role_ == instance_role::primary ||
                                 (role_ == instance_role::replica && matched_ >= applied_);
    const bool knows_start = start_position_ != 0 && applied_ >= start_position_;
    if (term > term_ || !matches_primary || !knows_start || applied_ < min_position) {
        return {"lagging", {}};
    }
    try {
        if (is_write_statement(statement)) {
            return error_reply("a read may not change rows");
        }
        return {"ok",
                {{"result", transaction_view(rows_).run(statement, customer)},
                 {"position", applied_},
                 {"replayed", false}}};
    } catch (const statement_error& failure) {
        return error_reply(failure.what());
    }
}

reply database_instance::begin(std::uint64_t term,
                               std::optional<open_transaction>& transaction) const {
    if (auto refusal = refuse_unless_primary(term)) {
        return std::move(*refusal);
    }
    if (transaction) {
        return error_reply("a transaction is already open on this connection");
    }
    transaction = open_transaction{.term = term, .customer = {}, .statements = {}, .results = {}};
    return {"ok", {}};
}

reply database_instance::execute_in_transaction(std::uint64_t term, open_transaction& transaction,
                                                const std::string& customer,
                                                const json::value& statement) const {
    if (auto refusal = refuse_unless_primary(term)) {
        return std::move(*refusal);
    }
    if (transaction.term != term) {
        return {"stale_term", {}};
    }
    if (transaction.statements.empty()) {
        transaction.customer = customer;
    }
    if (transaction.customer != customer) {
        return error_reply("the transaction belongs to another customer");
    }
    try {
        transaction_view view(rows_);
        for (const auto& earlier : transaction.statements) {
            view.run(earlier, customer);
        }
        auto result = view.run(statement, customer);
        transaction.statements.push_back(statement);
        transaction.results.push_back(result);
        return {"ok", {{"result", result}, {"position", applied_}, {"replayed", false}}};
    } catch (const statement_error& failure) {
        return error_reply(failure.what());
    }
}

reply database_instance::commit(std::uint64_t term, std::optional<open_transaction>& transaction,
                                const std::string& customer, const std::string& key) {
    if (auto refusal = refuse_unless_primary(term)) {
        return std::move(*refusal);
    }
    const auto ending = std::exchange(transaction, std::nullopt);
    if (const auto* found = find_record(customer, key)) {
        return replay(*found);
    }
    if (!ending) {
        return error_reply("no transaction is open on this connection");
    }
    if (ending->term != term) {
        return {"stale_term", {}};
    }
    if (!ending->statements.empty() && ending->customer != customer) {
        return error_reply("the transaction belongs to another customer");
    }
    try {
        transaction_view view(rows_);
        json::array changes;
        for (std::size_t i = 0; i < ending->statements.size(); ++i) {
            const auto& statement = ending->statements[i];
            if (view.run(statement, customer) != ending->results[i]) {
                return error_reply("transaction conflict");
            }
            if (is_write_statement(statement)) {
                changes.push_back(statement);
            }
        }
        auto position = applied_;
        if (!changes.empty() || !key.empty()) {
            position = append({.term = term_,
                               .customer = customer,
                               .idempotency_key = key,
                               .statements = std::move(changes),
                               .result = ending->results});
        }
        return {"ok", {{"result", ending->results}, {"position", position}, {"replayed", false}}};
    } catch (const statement_error&) {
        return error_reply("transaction conflict");
    }
}

reply database_instance::cancel(std::uint64_t term, const std::string& customer,
                                const std::string& key) {
    if (auto refusal = refuse_unless_primary(term)) {
        return std::move(*refusal);
    }
    if (key.empty()) {
        return error_reply("cancel needs an idempotency key");
    }
    const auto* found = find_record(customer, key);
    if (found != nullptr && !found->cancelled) {
        return {"found", {{"result", found->result}, {"position", found->position}}};
    }
    const auto position = found != nullptr ? found->position
                                           : append({.term = term_,
                                                     .kind = entry_kind::cancel,
                                                     .customer = customer,
                                                     .idempotency_key = key});
    return {"cancelled", {{"position", position}}};
}

reply database_instance::confirm(std::uint64_t term, std::uint64_t position) const {
    if (term < term_) {
        return {"stale_term", {}};
    }
    const bool takes_part = role_ != instance_role::sealed && term == term_;
    return {takes_part && received_position() >= position ? "ok" : "pending", {}};
}

reply database_instance::seal(std::uint64_t term) {
    const bool already_active = term == term_ && role_ != instance_role::sealed;
    if (term < term_ || already_active) {
        return {"stale_term", {}};
    }
    term_ = term;
    role_ = instance_role::sealed;
    primary_address_.clear();
    restart_replication();
    return {"ok", {{"last_term", last_term()}}};
}

reply database_instance::promote(std::uint64_t term) {
    if (term < term_) {
        return {"stale_term", {}};
    }
    const bool promoted_before = term == term_ && role_ == instance_role::primary;
    if (!promoted_before) {
        if (term != term_ || role_ != instance_role::sealed) {
            return error_reply("the instance is not sealed at this term");
        }
        role_ = instance_role::primary;
        apply_received();
        start_position_ = append({.term = term_, .kind = entry_kind::start});
    }
    return {"ok", {{"start_position", start_position_}}};
}

reply database_instance::follow(std::uint64_t term, const std::string& primary_address) {
    if (term < term_) {
        return {"stale_term", {}};
    }
    if (term == term_ && role_ == instance_role::primary) {
        return error_reply("the instance is the primary of this term");
    }
    const bool unchanged =
        term == term_ && role_ == instance_role::replica && primary_address == primary_address_;
    if (!unchanged) {
        term_ = term;
        role_ = instance_role::replica;
        primary_address_ = primary_address;
        start_position_ = 0;
        restart_replication();
    }
    return {"ok", {}};
}

std::uint64_t database_instance::append(log_entry entry) {
    entry.position = log_.size() + 1;
    log_.push_back({std::move(entry), {}});
    apply_next();
    return log_.size();
}

void database_instance::apply_next() {
    const auto& entry = log_[applied_].entry;
    transaction_view view(rows_);
    for (const auto& statement : entry.statements) {
        view.run(statement, entry.customer);
    }
    for (const auto& [key, value] : view.changes()) {
        rows_[key] = value;
    }
    if (!entry.idempotency_key.empty()) {
        records_[{entry.customer, entry.idempotency_key}] = {entry.kind == entry_kind::cancel,
                                                             entry.position, entry.result};
    }
    ++applied_;
}

void database_instance::apply_received() {
    while (applied_ < log_.size()) {
        apply_next();
    }
}

}  // namespace masticgrade::standins
