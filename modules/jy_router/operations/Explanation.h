#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_core/model/Endpoint.h"

#include <optional>
#include <string>
#include <vector>

namespace jy {

/** Which chat to explain. */
struct ChatQuestion
{
    ChatId chat;
    WorkspaceId workspace;

    /** Empty: the only model of the workspace. */
    ModelId model;
};

/** One backend server in the order in which a chat would try them. */
struct CandidateExplanation
{
    ServerId server;
    DomainId domain;
    InstanceId owner;

    /** False: new work would be refused for @ref reason. */
    bool eligible = true;

    /** An error kind or a sentence; empty when nothing is special. */
    std::string reason;
};

/** Why a chat goes where it goes. */
struct ChatExplanation
{
    ModelId model;
    VersionId version;

    /** Why this version: the model's "serve", or a move and its share. */
    std::string versionReason;

    /** The move that selected the version; empty without one. */
    MoveId move;

    std::uint64_t chatHash = 0;

    /** First candidate. */
    ServerId home;

    /** Where the owner of the home server has recorded the chat instead; empty if nowhere. */
    ServerId exception;

    std::vector<CandidateExplanation> candidates;

    /** Why there are no candidates; empty otherwise. */
    std::string problem;
};

/** Why a backend server gets or does not get work. */
struct ServerExplanation
{
    ServerId server;
    DomainId domain;
    InstanceId owner;

    /** Operator API of the owner; only the owner knows load, limit and queue. */
    Endpoint ownerOperations;

    /** The answering router is the owner; the members below are set. */
    bool ownedHere = false;

    int inFlight = 0;
    double limit = 0;
    int bound = 0;
    int queued = 0;
    bool cold = false;
    bool recovering = false;

    /** What is special about the server, one sentence each, for example "domain d1 is out". */
    std::vector<std::string> reasons;
};

} // namespace jy
