/// Names for the cases of parameterised tests.
#pragma once

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace pineroad::test {

/// Returns the name of a case for INSTANTIATE_TEST_SUITE_P; it may contain only letters and digits.
template <class Case>
std::string case_name(const ::testing::TestParamInfo<Case>& info) {
    return info.param.name;
}

/// A test case that consists of a name and a value.
template <class Value>
struct NamedCase {
    std::string name;
    Value value;
    friend std::ostream& operator<<(std::ostream& out, const NamedCase& c) { return out << c.name; }
};

}  // namespace pineroad::test
