/// Names of the cases of parameterised tests.
#pragma once

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace pineroad::test {

/// For INSTANTIATE_TEST_SUITE_P: the case's own name, which has letters and digits only.
template <class Case>
std::string case_name(const ::testing::TestParamInfo<Case>& info) {
    return info.param.name;
}

/// A case without more than its name and a value.
template <class Value>
struct NamedCase {
    std::string name;
    Value value;
    friend std::ostream& operator<<(std::ostream& out, const NamedCase& c) { return out << c.name; }
};

}  // namespace pineroad::test
