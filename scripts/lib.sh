# Shared by the scripts of this folder; source it after "set -euo pipefail".
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}

PACKAGES=(
    libboost1.81-all-dev libboost-json1.81-dev libgrpc++-dev libprotobuf-dev liblog4cxx-dev
    libabsl-dev librapidcheck-dev libxxhash-dev libssl-dev libgtest-dev
    g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
)

# Programs that tests, benchmark and demo start.
STANDINS=(
    standin_kv standin_instances standin_weights standin_engine standin_service fault_proxy loadgen
)

# Installs what is missing; does nothing when every package is there.
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

# Configures and builds the given targets, or everything.
build() {
    [ -f "$BUILD/build.ninja" ] || cmake -S "$ROOT" -B "$BUILD" -G Ninja >/dev/null
    ninja -C "$BUILD" --quiet "$@"
    ln -sfn "$BUILD/compile_commands.json" "$ROOT/compile_commands.json"
}

# Own C++ sources; generated code is neither formatted nor linted.
own_sources() {
    git -C "$ROOT" ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' \
        | grep -v '/generated/' | sed "s|^|$ROOT/|" | while read -r f; do [ -f "$f" ] && echo "$f"; done
}
