#pragma once

#include "field_reader.hpp"
#include "masticgrade/version/configuration.hpp"

namespace masticgrade {

/// Reads the fields `id` and `sha256`, which have the same form in the configuration document and
/// in the operations row.
inline customer_key read_key(field_reader& reader) {
    customer_key key;
    key.id = key_id{reader.name("id")};
    key.hash = key_hash{reader.sha256("sha256")};
    return key;
}

}  // namespace masticgrade
