#include <exception>
#include <iostream>

#include "host.h"

int main() {
    std::ios::sync_with_stdio(false);
    try {
        cinderfront::wire::Host().run(std::cin, std::cout);
    } catch (const std::exception& error) {
        std::cerr << "cinderfront_simhost: " << error.what() << '\n';
        return 2;
    }
    return 0;
}
