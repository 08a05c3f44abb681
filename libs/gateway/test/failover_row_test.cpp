#include "failover_row.hpp"

#include <doctest/doctest.h>

#include "fakes.hpp"

using namespace masticgrade;
using namespace masticgrade::test;

namespace {

failover_record decode(const std::string& value) {
    return decode_failover_row({"failover/ledger", fleet_version{1}, value}).record;
}

}  // namespace

// A process that started again under its id has none of the commits of its earlier process, so a
// host that has just started must be able to tell them apart.
TEST_CASE("the failover row keeps the processes of the log holders") {
    failover_record record{7, false, instance_id{"a"}, term_number{3}};
    record.log_holders = {holder_of("a", 1765074693094), holder_of("b", 4), holder_of("b", 5)};
    record.log_bounds.emplace(holder_of("b", 4), log_index{term_number{2}, log_position{7}});
    record.primary = recorded_primary{holder_of("b", 5), store_era{3}};
    record.target_start_time = 1765074693094;
    record.target_position = {term_number{2}, log_position{41}};
    CHECK(decode(encode_failover_row(record, host_id{"host-1"})) == record);
}

// Guards against promotions that forget what a refused attempt knew.
TEST_CASE("the failover row keeps what a target needs") {
    failover_record record{7, false, instance_id{"a"}, term_number{3}};
    record.required = log_index{term_number{3}, log_position{52}};
    CHECK(decode(encode_failover_row(record, host_id{"host-1"})) == record);
    CHECK(decode(R"({"fence":7,"open":false})").required == std::nullopt);
    record.primary =
        recorded_primary{holder_of("a", 4), store_era{1}, log_index{term_number{3}, {}}};
    CHECK(decode(encode_failover_row(record, host_id{"host-1"})) == record);
    CHECK(decode(R"({"fence":7,"open":false,"primary":3})").primary == std::nullopt);
}

// The next holder of the lock must know which processes may still be promoted.
TEST_CASE("the failover row keeps the promotion requests that may still be carried out") {
    failover_record record{7, true, instance_id{"a"}, term_number{3}};
    record.request_pending = true;
    record.requests = {
        {6, instance_id{"b"}, 1765074693094, {term_number{3}, log_position{41}}, term_number{4}},
        {7, instance_id{"c"}, 0, {}, term_number{4}}};
    CHECK(decode(encode_failover_row(record, host_id{"host-1"})) == record);
}

// A host that is updated must not forget the log holders that the others have recorded.
TEST_CASE("log holders recorded by an earlier release are of unknown start time") {
    const auto record =
        decode(R"({"fence":7,"open":false,"log_holders":{"a":"a.example:1","b":"b.example:1"}})");
    CHECK(record.log_holders == std::set{holder_of("a"), holder_of("b")});
}

// Hosts of earlier releases read the addresses by instance; without them, each host that is not
// updated yet would write the row again after each write of one that is.
TEST_CASE("hosts of an earlier release read the address of each log holder") {
    failover_record record;
    record.log_holders = {holder_of("a", 1), holder_of("b", 5)};
    record.log_holders.insert({instance_id{"b"}, endpoint_address{"other.example:1"}, 4});
    const auto value = encode_failover_row(record, host_id{"host-1"});
    CHECK(value.find(R"("log_holders":{"a":"a.example:1","b":"b.example:1"})") !=
          std::string::npos);
}

TEST_CASE("a log holder without a readable start time is of unknown start time") {
    const auto record = decode(
        R"({"fence":7,"open":false,"log_processes":[3,{"instance":"a","address":"a.example:1","start_time":"x"}]})");
    CHECK(record.log_holders == std::set{holder_of("a")});
}
