# Prints the faults of one run, one each line: START_MS STEP FAULT TARGET MILLISECONDS [FAULT TARGET]
# Variables: seed, seconds, faults (names split by commas). Input: the upstreams of the deployment, one each line, each
# with the word relayed if a relay stands before its node.
# The same seed gives the same plan.

function draw(most) { return int(rand() * most) }

function isAlone(fault) { return fault == "node-stop" }

# A planned stop is held to cutting nothing, so nothing else that cuts may run beside it. Two changes of the table or
# two modes of the platform would undo each other.
function fits(first, second) {
    if (kind(first) != "" && kind(first) == kind(second)) {
        return 0
    }
    # Of two tables under one number it must be known that both were there to be read.
    if (first == "table-race" || second == "table-race") {
        return kind(first) != "platform" && kind(second) != "platform"
    }
    if (isAlone(first) || isAlone(second)) {
        return kind(first) == "platform" || kind(second) == "platform"
    }
    return 1
}

function kind(fault) {
    if (fault ~ /^platform-/) { return "platform" }
    if (fault ~ /^table-/) { return "table" }
    return ""
}

# Links can be cut only where a relay stands.
function targetOf(fault, place) {
    return fault ~ /^link-/ ? relayed[place % relayedCount] : targets[place]
}

{ targets[count++] = $1 }
$2 == "relayed" { relayed[relayedCount++] = $1 }

END {
    srand(seed)
    faultCount = split(faults, names, ",")
    # Every fault comes up before any comes again.
    place = faultCount
    time = 3000
    while (time < (seconds - 6) * 1000) {
        if (place >= faultCount) {
            for (other = faultCount; other > 1; --other) {
                swap = 1 + draw(other); held = names[swap]; names[swap] = names[other]; names[other] = held
            }
            place = 0
        }
        first = names[++place]
        length_ = 500 + draw(3500)
        if (first == "upstream-leaving") {
            # Longer than the bound for new work at a leaving upstream.
            length_ += 4000
        }
        target = draw(count)
        line = time " " first " " targetOf(first, target) " " length_
        if (rand() < 0.5) {
            second = names[1 + draw(faultCount)]
            if (fits(first, second)) {
                line = line " " second " " targetOf(second, (target + 1 + draw(count - 1)) % count)
            }
        }
        print line
        time += length_ + 500 + draw(1000)
    }
}
