#!/usr/bin/env bash
# Builds what the cases need beside the controllers: the gateway, by the build line of deploy/gateway.toml, and the
# stand-in broker, which is the project's own (src/gateway/testing) with a main of its own. All other stand-ins are
# Python 3 with its standard library (standins/deployment.py).
cd "$(dirname "$0")/.." || exit 2
python3 -B -c 'import sys, asyncio; sys.exit(sys.version_info < (3, 9))' || { echo "python3 (3.9 or later) is missing"; exit 2; }
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/gateway.toml)" >target/review-build.log 2>&1 &&
    g++ -std=c++20 -O1 -Isrc -Itarget/generated -DSPDLOG_COMPILED_LIB -DSPDLOG_SHARED_LIB -DSPDLOG_FMT_EXTERNAL \
        review/standins/broker.cpp src/gateway/testing/broker.cpp \
        target/libbasaltchute_gateway_core.a target/libbasaltchute_core.a \
        -lcapnp -lkj -lspdlog -lfmt -lhttp_parser -lqpid-proton -lxxhash -lssl -lcrypto \
        -o target/review-broker >>target/review-build.log 2>&1 ||
    { tail -5 target/review-build.log; echo "the gateway or its broker could not be built: case 1 exits with 2"; exit 1; }
