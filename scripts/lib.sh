# Functions shared by the scripts in this folder; source this file after "set -euo pipefail".
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}

PACKAGES=(
    libboost1.81-all-dev libboost-json1.81-dev libgrpc++-dev libprotobuf-dev liblog4cxx-dev
    libabsl-dev librapidcheck-dev libxxhash-dev libssl-dev libgtest-dev
    g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
)

# Stand-ins for external services, started by tests, benchmarks and the demo.
STANDINS=(
    standin_kv standin_instances standin_weights standin_engine standin_service fault_proxy loadgen
)

# Installs the missing packages of PACKAGES.
install_packages() {
    local missing=()
    for package in "${PACKAGES[@]}"; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' \
            || missing+=("$package")
    done
    [ ${#missing[@]} -eq 0 ] && return 0
    echo "installing: ${missing[*]}"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
}

# Configures if necessary and builds the given targets, or all targets.
build() {
    [ -f "$BUILD/build.ninja" ] || cmake -S "$ROOT" -B "$BUILD" -G Ninja >/dev/null
    ninja -C "$BUILD" --quiet "$@"
    ln -sfn "$BUILD/compile_commands.json" "$ROOT/compile_commands.json"
}

# Lists the C++ sources to format and lint, which excludes generated code.
own_sources() {
    git -C "$ROOT" ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' \
        | grep -v '/generated/' | sed "s|^|$ROOT/|" | while read -r f; do [ -f "$f" ] && echo "$f"; done
}
