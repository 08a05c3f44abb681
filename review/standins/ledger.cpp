#include "ledger.hpp"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <stdexcept>

namespace review {

namespace {

/// The words of an EXECUTE after the name, which the proxy may change.
std::string without_name(const std::string& text) {
    if (text.rfind("EXECUTE ", 0) != 0) {
        return text;
    }
    const auto name_end = text.find(' ', 8);
    return name_end == std::string::npos ? "EXECUTE" : "EXECUTE" + text.substr(name_end);
}

}  // namespace

ledger::ledger(const std::string& record_path) : file_(record_path) {
    if (!file_) {
        throw std::runtime_error("cannot write " + record_path);
    }
}

double ledger::seconds() const {
    return std::chrono::duration<double>(steady::now() - started_).count();
}

void ledger::write_locked(const std::string& line) {
    char time[32] = {};
    std::snprintf(time, sizeof time, "%8.3f ", seconds());
    file_ << time << line << '\n';
}

void ledger::write(const std::string& line) {
    const std::lock_guard lock{mutex_};
    write_locked(line);
}

void ledger::report(const std::string& rule, const std::string& what) {
    const std::lock_guard lock{mutex_};
    violations_.push_back(what);
    if (std::find(broken_rules_.begin(), broken_rules_.end(), rule) == broken_rules_.end()) {
        broken_rules_.push_back(rule);
    }
    write_locked("BROKEN " + rule + ": " + what);
    std::cout << "BROKEN " << rule << ": " << what << std::endl;
}

std::size_t ledger::violations() {
    const std::lock_guard lock{mutex_};
    return violations_.size();
}

std::vector<std::string> ledger::broken_rules() {
    const std::lock_guard lock{mutex_};
    return broken_rules_;
}

std::string ledger::client_of(const std::string& id) { return id.substr(0, id.find('-')); }

void ledger::add_client(const std::string& client, const std::string& tenant) {
    const std::lock_guard lock{mutex_};
    tenants_[client] = tenant;
}

void ledger::on_sent(const std::string& client, const std::string& id, const std::string& text) {
    const std::lock_guard lock{mutex_};
    sent_[id] = text;
    write_locked(client + " sends " + id + " " + text);
}

void ledger::on_attempt_ended(const attempt& ended) {
    const std::lock_guard lock{mutex_};
    attempts_.push_back(ended);
    if (ended.acknowledged && !ended.writes.empty()) {
        acknowledged_.push_back({ended.client, ended.session, ended.writes.front(), steady::now()});
    }
}

void ledger::expect(const std::string& id, const expectation& expected) {
    const std::lock_guard lock{mutex_};
    expectations_[id] = expected;
}

std::optional<ledger::expectation> ledger::expected(const std::string& id) {
    const std::lock_guard lock{mutex_};
    const auto found = expectations_.find(id);
    return found == expectations_.end() ? std::nullopt : std::optional{found->second};
}

void ledger::on_committed(const std::string& first_write, const std::string& service) {
    const std::lock_guard lock{mutex_};
    services_[first_write] = service;
}

void ledger::check_read(const std::string& id, const std::string& service,
                        const std::set<std::string>& visible_writes) {
    const auto wanted = expected(id);
    if (!wanted) {
        return;
    }
    std::vector<std::string> missing;
    {
        const std::lock_guard lock{mutex_};
        for (const auto& item : acknowledged_) {
            const bool own = wanted->sees_own_commits && item.client == client_of(id) &&
                             item.session == wanted->session;
            const auto limit = wanted->first_byte - (own ? milliseconds{0} : wanted->max_staleness);
            if (item.at < limit && services_[item.first_write] == service &&
                !visible_writes.contains(item.first_write)) {
                missing.push_back(item.first_write);
            }
        }
    }
    if (!missing.empty()) {
        report("STALE", "read " + id + " runs on a log without " + std::to_string(missing.size()) +
                            " acknowledged commits, the first " + missing.front());
    }
}

void ledger::check_promotion(const std::string& instance, const std::string& service,
                             const std::set<std::string>& writes) {
    std::vector<std::string> missing;
    {
        const std::lock_guard lock{mutex_};
        std::erase_if(acknowledged_, [&](const auto& item) {
            const bool is_lost =
                services_[item.first_write] == service && !writes.contains(item.first_write);
            if (is_lost) {
                missing.push_back(item.first_write);
            }
            return is_lost;
        });
    }
    for (const auto& id : missing) {
        std::string what = "the log of ";
        what.append(instance).append(", which is promoted, lacks acknowledged write ").append(id);
        report("LOST", what);
    }
}

void ledger::on_run(const std::string& id, const std::string& text, const std::string& tenant) {
    std::string sent_text;
    std::string expected_tenant;
    {
        const std::lock_guard lock{mutex_};
        const auto sent = sent_.find(id);
        sent_text = sent == sent_.end() ? std::string{"(never sent)"} : sent->second;
        const auto known = tenants_.find(client_of(id));
        expected_tenant = known == tenants_.end() ? std::string{"(unknown)"} : known->second;
    }
    if (without_name(sent_text) != without_name(text)) {
        report("UNASKED", "statement " + id + " runs as \"" + text + "\", its client sent \"" +
                              sent_text + "\"");
    }
    if (expected_tenant != tenant) {
        report("UNASKED", "statement " + id + " of tenant " + expected_tenant +
                              " runs on a connection of tenant " + tenant);
    }
}

void ledger::check_log(const std::string& service, const std::vector<std::string>& logged_writes) {
    std::map<std::string, int> counts;
    for (const auto& id : logged_writes) {
        ++counts[id];
    }
    std::vector<attempt> attempts;
    {
        const std::lock_guard lock{mutex_};
        for (const auto& item : attempts_) {
            const auto known =
                item.writes.empty() ? services_.end() : services_.find(item.writes.front());
            if (known == services_.end() || known->second == service) {
                attempts.push_back(item);
            }
        }
    }
    for (const auto& [id, count] : counts) {
        if (count > 1) {
            report("TWICE", "write " + id + " is " + std::to_string(count) + " times in the log");
        }
    }
    for (const auto& item : attempts) {
        for (const auto& id : item.writes) {
            const bool kept = counts.contains(id);
            if (item.acknowledged && !kept) {
                report("LOST", "the commit of write " + id +
                                   " was acknowledged, but the primary's log lacks it");
            }
            if (item.promised && kept) {
                report("REFUSED", "write " + id +
                                      " is in the log, though its client was promised "
                                      "that nothing is kept");
            }
            if (!item.commit_sent && kept) {
                report("UNASKED",
                       "write " + id + " is in the log, though its client did not send COMMIT");
            }
        }
    }
}

}  // namespace review
