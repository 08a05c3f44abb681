#include <string>
#include <vector>

#include "masticgrade/control/commands.hpp"

int main(int argc, char** argv) {
    const std::vector<std::string> words{argv + 1, argv + argc};
    return masticgrade::run_control(words);
}
