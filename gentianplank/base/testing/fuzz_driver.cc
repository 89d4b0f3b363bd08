// Runs a fuzz target without libFuzzer: replays a corpus, then mutations of it by a fixed seed, so
// that the usual build and the sanitizer builds run every target.
//
//     line_codec_fuzz CORPUS RUNS SEED

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <string>
#include <vector>

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

namespace {

constexpr size_t MaxMutations = 8;
constexpr size_t MaxRepeat = 64;

std::vector<std::string> readCorpus(const std::filesystem::path &folder)
{
    std::vector<std::filesystem::path> files;
    for (const auto &it : std::filesystem::directory_iterator(folder)) {
        files.push_back(it.path());
    }
    // The order of the folder must not change what a seed gives.
    std::sort(files.begin(), files.end());
    std::vector<std::string> corpus;
    for (const auto &it : files) {
        std::ifstream in(it, std::ios::binary);
        corpus.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    }
    return corpus;
}

void mutate(std::string &input, const std::vector<std::string> &corpus, std::mt19937 &random)
{
    const size_t at = random() % (input.size() + 1);
    const size_t n = random() % MaxRepeat;
    const std::string &other = corpus[random() % corpus.size()];
    switch (random() % 5) {
    case 0:
        input.insert(at, n, static_cast<char>(random()));
        break;
    case 1:
        input.erase(at, n);
        break;
    case 2:
        input.insert(at, other.substr(random() % (other.size() + 1), n));
        break;
    case 3:
        input.resize(at);
        break;
    default:
        if (at < input.size()) {
            input[at] = static_cast<char>(random());
        }
        break;
    }
}

void run(const std::string &input)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t *>(input.data()), input.size());
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: " << argv[0] << " CORPUS RUNS SEED\n";
        return 2;
    }
    const std::vector<std::string> corpus = readCorpus(argv[1]);
    if (corpus.empty()) {
        std::cerr << argv[1] << " holds no inputs\n";
        return 2;
    }
    for (const std::string &it : corpus) {
        run(it);
    }
    std::mt19937 random(static_cast<uint32_t>(std::strtoul(argv[3], nullptr, 10)));
    const size_t runs = std::strtoul(argv[2], nullptr, 10);
    for (size_t i = 0; i < runs; ++i) {
        std::string input = corpus[random() % corpus.size()];
        for (size_t n = random() % MaxMutations + 1; n > 0; --n) {
            mutate(input, corpus, random);
        }
        run(input);
    }
    std::cout << corpus.size() << " inputs, " << runs << " mutations\n";
    return 0;
}
