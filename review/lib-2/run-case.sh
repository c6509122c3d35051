# Runs a case with what the build of the deploy file has put into target/deps.
[ -d target/deps ] || { echo "target/deps is missing: run the build of the deploy file"; exit 2; }
PYTHONPATH="$PWD/target/deps" timeout -k 5 115 python3 "$1"
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
